package org.geraniumford.core.fleet;

import java.util.List;

/**
 * The cache contents that result from one entry's recent requests, sent to the other entries.
 *
 * @param savedKeys the keys of the prompt segments that engines saved in the cache store for this entry
 * @param prefilled the prompt segments that engines prefilled for this entry, by server
 */
public record CacheGossip(List<Long> savedKeys, List<PrefilledSegments> prefilled) {
    /** Copies the lists. */
    public CacheGossip {
        savedKeys = List.copyOf(savedKeys);
        prefilled = List.copyOf(prefilled);
    }
}
