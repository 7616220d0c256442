package org.geraniumford.core.ledger;

import org.geraniumford.core.store.StoreReply;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.wire.TokenState;

/** What happens to a call that is not idempotent. */
public sealed interface ClaimEvent {
    /**
     * The store answered the last request.
     *
     * @param reply the answer
     */
    record StoreAnswered(StoreReply reply) implements ClaimEvent {}

    /**
     * The plain service answered the call.
     *
     * @param answer the answer
     */
    record CallAnswered(CallAnswer answer) implements ClaimEvent {}

    /**
     * The call brought no answer.
     *
     * @param refusal why, and whether it may have run
     */
    record CallFailed(Refusal refusal) implements ClaimEvent {}

    /**
     * A sidecar told what became of a token.
     *
     * @param state the token's state
     */
    record TokenAnswered(TokenState state) implements ClaimEvent {}

    /** A sidecar that was asked about a token did not answer. */
    record TokenUnanswered() implements ClaimEvent {}
}
