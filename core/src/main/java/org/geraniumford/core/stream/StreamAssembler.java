package org.geraniumford.core.stream;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.Message;

/**
 * How far the answer of one request has been delivered. Only the next tokens of the current attempt pass.
 *
 * @param attemptId the current attempt
 * @param deliveredTokens the number of answer tokens passed to the caller, 0 or more
 */
public record StreamAssembler(AttemptId attemptId, int deliveredTokens) {
    /**
     * What became of one run of tokens.
     *
     * @param placement where the run belongs
     * @param tokens the tokens to pass to the caller; empty unless the placement is {@link Placement#NEXT}
     * @param assembler the state after the run
     */
    public record Delivery(Placement placement, List<String> tokens, StreamAssembler assembler) {
        /** Copies the list. */
        public Delivery {
            tokens = List.copyOf(tokens);
        }
    }

    /** Checks the components. */
    public StreamAssembler {
        requireNonNull(attemptId, "attempt is null");
        if (deliveredTokens < 0) {
            throw new IllegalArgumentException("delivered is " + deliveredTokens + ", not at least 0");
        }
    }

    // -- construction

    /**
     * Starts an answer.
     *
     * @param attempt the first attempt
     * @return a state with nothing delivered
     */
    public static StreamAssembler start(AttemptId attempt) {
        return new StreamAssembler(attempt, 0);
    }

    // -- transitions

    /**
     * Moves to another attempt, which continues from the delivered offset.
     *
     * @param next the attempt whose frames pass from now on
     * @return the new state
     */
    public StreamAssembler resume(AttemptId next) {
        return new StreamAssembler(next, deliveredTokens);
    }

    /**
     * Places a run of tokens.
     *
     * @param chunk the run
     * @return what passes to the caller, and the state after it
     */
    public Delivery accept(Message.Chunk chunk) {
        if (!attemptId.equals(chunk.id())) {
            return withheld(Placement.STALE);
        }
        if (chunk.offset() > deliveredTokens || chunk.offset() < 0) {
            return withheld(Placement.GAP);
        }
        int known = deliveredTokens - chunk.offset();
        if (known >= chunk.tokens().size()) {
            return withheld(Placement.DUPLICATE);
        }
        List<String> fresh = chunk.tokens().subList(known, chunk.tokens().size());
        return new Delivery(Placement.NEXT, fresh, new StreamAssembler(attemptId, deliveredTokens + fresh.size()));
    }

    /**
     * Places the terminal event of an attempt.
     *
     * @param end the terminal event
     * @return {@link Placement#NEXT} if the answer is complete, {@link Placement#STALE} if the event is to be dropped,
     *     {@link Placement#GAP} if the attempt ended at another offset than was delivered
     */
    public Placement accept(Message.End end) {
        if (!attemptId.equals(end.id())) {
            return Placement.STALE;
        }
        return end.offset() == deliveredTokens ? Placement.NEXT : Placement.GAP;
    }

    private Delivery withheld(Placement placement) {
        return new Delivery(placement, List.of(), this);
    }
}
