package org.geraniumford.core.cache;

import java.util.List;
import org.geraniumford.core.prefix.BlockKey;

/**
 * An engine's whole cache, exact at one point of its event stream.
 *
 * @param incarnation the engine's incarnation
 * @param sequence the number of the last event that the snapshot includes
 * @param keys all pieces held
 */
public record CacheSnapshot(long incarnation, long sequence, List<BlockKey> keys) {
    /** Copies the list. */
    public CacheSnapshot {
        keys = List.copyOf(keys);
    }
}
