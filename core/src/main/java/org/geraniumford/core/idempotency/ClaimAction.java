package org.geraniumford.core.idempotency;

import org.geraniumford.core.store.StoreRequest;
import org.geraniumford.core.verdict.Refusal;

/** What to do for a call that is not idempotent. */
public sealed interface ClaimAction {
    /**
     * Ask the store.
     *
     * @param request the request
     * @param delayMicros how long to wait before, in microseconds
     */
    record SendStoreRequest(StoreRequest request, long delayMicros) implements ClaimAction {}

    /**
     * Send the call.
     *
     * @param host where to
     * @param attempt the number of the try, from 1
     * @param token the attempt's token
     * @param issuedMicros when the token was made, in microseconds since the epoch
     */
    record SendCall(String host, int attempt, String token, long issuedMicros) implements ClaimAction {}

    /**
     * Ask a sidecar to never pass on a token.
     *
     * @param host the sidecar's host
     * @param token the token
     * @param issuedMicros when the token was made, in microseconds since the epoch
     */
    record CloseToken(String host, String token, long issuedMicros) implements ClaimAction {}

    /**
     * Give the caller an answer.
     *
     * @param response the service's answer, now or earlier
     */
    record Respond(CallResponse response) implements ClaimAction {}

    /**
     * Refuse the caller.
     *
     * @param refusal why
     */
    record Refuse(Refusal refusal) implements ClaimAction {}
}
