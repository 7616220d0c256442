package org.geraniumford.standins.engine;

/**
 * What the engine has done since its process started, crashes included.
 *
 * @param hitPieces pieces taken from the cache
 * @param computedPieces pieces computed
 * @param recomputedPieces pieces computed that had been computed before
 * @param leaks pieces taken from the cache for another customer or for other weights
 * @param executedRequests requests whose prefill began
 */
public record EngineCounters(
        long hitPieces, long computedPieces, long recomputedPieces, long leaks, long executedRequests) {}
