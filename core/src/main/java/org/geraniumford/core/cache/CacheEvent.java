package org.geraniumford.core.cache;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.geraniumford.core.prefix.BlockKey;

/**
 * One entry of an engine's cache event stream.
 *
 * @param incarnation the engine's incarnation; larger is later
 * @param sequence the event's number within the incarnation, from 1
 * @param kind what happened
 * @param keys the pieces it happened to
 */
public record CacheEvent(long incarnation, long sequence, Kind kind, List<BlockKey> keys) {
    /** Checks the components and copies the list. */
    public CacheEvent {
        requireNonNull(kind, "kind is null");
        keys = List.copyOf(keys);
    }

    /** What happened to a piece. */
    public enum Kind {
        /** The engine now holds the piece. */
        STORED,
        /** The engine no longer holds the piece. */
        EVICTED
    }
}
