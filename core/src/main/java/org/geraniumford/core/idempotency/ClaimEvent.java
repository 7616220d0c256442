package org.geraniumford.core.idempotency;

import org.geraniumford.core.store.StoreResponse;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.wire.AttemptTokenState;

/** An event in the processing of a call that is not idempotent. */
public sealed interface ClaimEvent {
    /**
     * The store responded to the last request, or the request failed.
     *
     * @param response the response
     */
    record StoreResponseReceived(StoreResponse response) implements ClaimEvent {}

    /**
     * The plain service responded to the call.
     *
     * @param response the response
     */
    record CallResponseReceived(CallResponse response) implements ClaimEvent {}

    /**
     * The call failed without a response.
     *
     * @param refusal the reason; its verdict indicates whether the call may have run
     */
    record CallFailed(Refusal refusal) implements ClaimEvent {}

    /**
     * A sidecar returned the state of a token.
     *
     * @param state the token's state
     */
    record TokenStateReceived(AttemptTokenState state) implements ClaimEvent {}

    /** A sidecar did not respond to the request to close a token. */
    record TokenStateUnavailable() implements ClaimEvent {}
}
