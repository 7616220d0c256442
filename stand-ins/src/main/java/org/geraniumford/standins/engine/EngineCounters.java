package org.geraniumford.standins.engine;

/**
 * Counters of an engine since its process started. A simulated crash does not reset them.
 *
 * @param hitPieces the number of blocks found in the prefix cache
 * @param computedPieces the number of blocks computed
 * @param recomputedPieces the number of blocks computed that had been computed before
 * @param leaks the number of blocks found in the cache that were computed for another customer or with other weights
 * @param executedRequests the number of prefills that started; a request executed twice counts twice
 */
public record EngineCounters(
        long hitPieces, long computedPieces, long recomputedPieces, long leaks, long executedRequests) {}
