package org.geraniumford.standins.engine;

/**
 * What is remembered of a cached piece.
 *
 * @param customer whose prompt it was computed from
 * @param weightsDigest the weights that computed it
 * @param tokens its length in tokens
 */
public record CachedBlock(String customer, String weightsDigest, int tokens) {
    boolean belongsTo(CompletionRequest request) {
        return customer.equals(request.cacheSalt()) && weightsDigest.equals(request.weightsDigest());
    }
}
