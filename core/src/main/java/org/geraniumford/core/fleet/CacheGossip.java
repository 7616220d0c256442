package org.geraniumford.core.fleet;

import java.util.List;

/**
 * The segments that engines prefilled or saved for one entry since its last gossip message, as announced to the other
 * entries.
 *
 * @param savedKeys the keys of the prompt segments that engines saved in the cache store for the entry
 * @param prefilled the prompt segments that engines prefilled for the entry, by server
 */
public record CacheGossip(List<Long> savedKeys, List<PrefilledSegments> prefilled) {
    /** Copies the lists. */
    public CacheGossip {
        savedKeys = List.copyOf(savedKeys);
        prefilled = List.copyOf(prefilled);
    }
}
