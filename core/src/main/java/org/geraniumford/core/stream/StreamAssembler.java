package org.geraniumford.core.stream;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.Message;

/**
 * Assembles the response of one request. Only the next tokens of the current attempt are delivered. Immutable.
 *
 * @param attemptId the current attempt
 * @param deliveredTokens the number of output tokens delivered to the caller, 0 or more
 */
public record StreamAssembler(AttemptId attemptId, int deliveredTokens) {
    /**
     * The result of one run of tokens.
     *
     * @param placement the position of the run
     * @param tokens the tokens to deliver to the caller; empty unless the placement is {@link Placement#NEXT}
     * @param assembler the state after the run
     */
    public record Delivery(Placement placement, List<String> tokens, StreamAssembler assembler) {
        /** Copies the list. */
        public Delivery {
            tokens = List.copyOf(tokens);
        }
    }

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if the number of delivered tokens is negative
     */
    public StreamAssembler {
        requireNonNull(attemptId, "attemptId is null");
        if (deliveredTokens < 0) {
            throw new IllegalArgumentException("deliveredTokens is " + deliveredTokens + ", not at least 0");
        }
    }

    // -- construction

    /**
     * Starts a response.
     *
     * @param attemptId the first attempt
     * @return a state without delivered tokens
     */
    public static StreamAssembler start(AttemptId attemptId) {
        return new StreamAssembler(attemptId, 0);
    }

    // -- transitions

    /**
     * Switches to another attempt, which resumes the response at the delivered offset.
     *
     * @param next the attempt whose frames are accepted from now on
     * @return the new state
     */
    public StreamAssembler resume(AttemptId next) {
        return new StreamAssembler(next, deliveredTokens);
    }

    /**
     * Accepts a run of tokens, of which only new ones that leave no gap are delivered.
     *
     * @param chunk the run
     * @return the placement, the tokens to deliver, and the state after the run
     */
    public Delivery accept(Message.Chunk chunk) {
        if (!attemptId.equals(chunk.id())) {
            return nothingDelivered(Placement.STALE);
        }
        if (chunk.offset() > deliveredTokens || chunk.offset() < 0) {
            return nothingDelivered(Placement.GAP);
        }
        int duplicateTokens = deliveredTokens - chunk.offset();
        if (duplicateTokens >= chunk.tokens().size()) {
            return nothingDelivered(Placement.DUPLICATE);
        }
        List<String> newTokens =
                chunk.tokens().subList(duplicateTokens, chunk.tokens().size());
        return new Delivery(
                Placement.NEXT, newTokens, new StreamAssembler(attemptId, deliveredTokens + newTokens.size()));
    }

    /**
     * Checks the terminal event of an attempt.
     *
     * @param end the terminal event
     * @return {@link Placement#NEXT} if the response is complete, {@link Placement#STALE} if the event belongs to
     *     another attempt and must be dropped, {@link Placement#GAP} if its offset differs from the delivered offset
     */
    public Placement accept(Message.End end) {
        if (!attemptId.equals(end.id())) {
            return Placement.STALE;
        }
        return end.offset() == deliveredTokens ? Placement.NEXT : Placement.GAP;
    }

    private Delivery nothingDelivered(Placement placement) {
        return new Delivery(placement, List.of(), this);
    }
}
