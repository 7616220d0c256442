package org.geraniumford.standins.engine;

/**
 * A block in the prefix cache.
 *
 * @param customer the customer whose prompt the block was computed from
 * @param weightsDigest the digest of the weights that computed the block
 * @param tokens the length of the block in tokens
 */
public record CachedBlock(String customer, String weightsDigest, int tokens) {
    /** Returns whether the block was computed for the customer and the weights of a request. */
    boolean belongsTo(CompletionRequest request) {
        return customer.equals(request.cacheSalt()) && weightsDigest.equals(request.weightsDigest());
    }
}
