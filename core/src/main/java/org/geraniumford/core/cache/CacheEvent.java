package org.geraniumford.core.cache;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.geraniumford.core.prefix.BlockKey;

/**
 * One event of an engine's cache event stream.
 *
 * @param incarnation the engine's incarnation; larger is later
 * @param sequence the event's number within the incarnation, from 1
 * @param kind the kind of change
 * @param keys the keys of the changed blocks
 */
public record CacheEvent(long incarnation, long sequence, Kind kind, List<BlockKey> keys) {
    /** Checks the components and copies the list. */
    public CacheEvent {
        requireNonNull(kind, "kind is null");
        keys = List.copyOf(keys);
    }

    /** The kind of change to a block. */
    public enum Kind {
        /** The engine has cached the block. */
        STORED,
        /** The engine has evicted the block. */
        EVICTED
    }
}
