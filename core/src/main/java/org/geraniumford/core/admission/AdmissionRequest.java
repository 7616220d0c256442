package org.geraniumford.core.admission;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.geraniumford.core.prefix.Block;
import org.geraniumford.core.wire.AttemptId;

/**
 * A request that asks to be passed to the engine.
 *
 * @param id the attempt
 * @param customer the customer's name
 * @param weight the customer's share, at least 1
 * @param priority the rank among the customer's own requests; 0 is first
 * @param deadlineNanos when the first token is due, on the caller's monotonic clock
 * @param blocks the prompt's pieces
 * @param maxTokens the longest answer, in tokens
 * @param bytes the memory that it takes while it waits
 */
public record AdmissionRequest(
        AttemptId id,
        String customer,
        int weight,
        int priority,
        long deadlineNanos,
        List<Block> blocks,
        int maxTokens,
        long bytes) {
    /** Checks the components and copies the list. */
    public AdmissionRequest {
        requireNonNull(id, "id is null");
        requireNonNull(customer, "customer is null");
        if (weight < 1) {
            throw new IllegalArgumentException("weight is " + weight + ", not at least 1");
        }
        blocks = List.copyOf(blocks);
    }

    // -- queries

    /**
     * Counts the tokens to compute.
     *
     * @param cachedPieces how many leading pieces the engine holds
     * @return the tokens of the other pieces
     */
    public long uncachedTokens(int cachedPieces) {
        return blocks.stream().skip(cachedPieces).mapToLong(Block::tokens).sum();
    }
}
