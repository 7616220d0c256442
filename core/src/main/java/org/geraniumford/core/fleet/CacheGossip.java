package org.geraniumford.core.fleet;

import java.util.List;

/**
 * What an entry lately learned of caches by its own requests.
 *
 * @param savedKeys keys of the prompt parts that it had saved in the cache store
 * @param prefilled what it had engines read
 */
public record CacheGossip(List<Long> savedKeys, List<PrefilledSegments> prefilled) {
    /** Copies the lists. */
    public CacheGossip {
        savedKeys = List.copyOf(savedKeys);
        prefilled = List.copyOf(prefilled);
    }
}
