package org.geraniumford.core.idempotency;

import org.geraniumford.core.store.StoreResponse;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.wire.AttemptTokenState;

/** What happens to a call that is not idempotent. */
public sealed interface ClaimEvent {
    /**
     * The store answered the last request.
     *
     * @param response the answer
     */
    record StoreResponseReceived(StoreResponse response) implements ClaimEvent {}

    /**
     * The plain service answered the call.
     *
     * @param response the answer
     */
    record CallResponseReceived(CallResponse response) implements ClaimEvent {}

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
    record TokenStateReceived(AttemptTokenState state) implements ClaimEvent {}

    /** A sidecar that was asked about a token did not answer. */
    record TokenStateUnavailable() implements ClaimEvent {}
}
