package org.geraniumford.core.idempotency;

import org.geraniumford.core.store.StoreRequest;
import org.geraniumford.core.verdict.Refusal;

/** An action to perform for a call that is not idempotent. */
public sealed interface ClaimAction {
    /**
     * Sends a request to the store.
     *
     * @param request the request
     * @param delayMicros the delay before the request, in microseconds
     */
    record SendStoreRequest(StoreRequest request, long delayMicros) implements ClaimAction {}

    /**
     * Sends the call.
     *
     * @param host the host to which the call is sent
     * @param attempt the number of the attempt, from 1
     * @param token the attempt's token
     * @param issuedMicros the time when the token was issued, in microseconds since the epoch
     */
    record SendCall(String host, int attempt, String token, long issuedMicros) implements ClaimAction {}

    /**
     * Requests that a sidecar closes a token, so that it never forwards a call with this token.
     *
     * @param host the sidecar's host
     * @param token the token
     * @param issuedMicros the time when the token was issued, in microseconds since the epoch
     */
    record CloseToken(String host, String token, long issuedMicros) implements ClaimAction {}

    /**
     * Sends the caller the service's response.
     *
     * @param response the response to this attempt or, for a replay, the one recorded for another attempt with the same
     *     idempotency key
     */
    record Respond(CallResponse response) implements ClaimAction {}

    /**
     * Refuses the call.
     *
     * @param refusal the refusal for the caller
     */
    record Refuse(Refusal refusal) implements ClaimAction {}
}
