package org.geraniumford.core.admission;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.geraniumford.core.prefix.Block;
import org.geraniumford.core.wire.AttemptId;

/**
 * A request for admission to the engine.
 *
 * @param id the attempt's identifier
 * @param customer the customer's name
 * @param weight the customer's weight in fair queueing, at least 1
 * @param priority the rank among the customer's own requests; 0 is served first
 * @param deadlineNanos when the first token is due, in nanoseconds of a monotonic clock
 * @param blocks the blocks of the prompt, first to last
 * @param maxTokens the maximum number of output tokens
 * @param bytes the memory that the request occupies while queued, in bytes
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
    /**
     * Checks the components and copies the list.
     *
     * @throws IllegalArgumentException if the weight is less than 1
     */
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
     * Counts the uncached tokens of the prompt.
     *
     * @param cachedBlocks the number of leading blocks in the engine's cache
     * @return the number of tokens of the other blocks
     */
    public long uncachedTokens(int cachedBlocks) {
        return blocks.stream().skip(cachedBlocks).mapToLong(Block::tokens).sum();
    }
}
