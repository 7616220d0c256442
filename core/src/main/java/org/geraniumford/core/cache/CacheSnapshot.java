package org.geraniumford.core.cache;

import java.util.List;
import org.geraniumford.core.prefix.BlockKey;

/**
 * The contents of an engine's whole cache at one point of its event stream.
 *
 * @param incarnation the engine's incarnation
 * @param sequence the sequence number of the last event that the snapshot includes
 * @param keys the keys of all cached blocks
 */
public record CacheSnapshot(long incarnation, long sequence, List<BlockKey> keys) {
    /** Copies the list. */
    public CacheSnapshot {
        keys = List.copyOf(keys);
    }
}
