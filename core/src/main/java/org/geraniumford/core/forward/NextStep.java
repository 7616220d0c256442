package org.geraniumford.core.forward;

/** The step that follows an attempt without a usable response. */
public enum NextStep {
    /** Retry the request at another server. */
    TRY_ELSEWHERE,
    /** Resume the stream at another server, after the last event delivered. */
    RESUME_ELSEWHERE,
    /** Resume the stream at the server that holds the backup of the request's KV memory. */
    CONTINUE_AT_COPY,
    /** Forward the server's own error response. */
    PASS_ERROR_ON,
    /** Send the caller a refusal with the verdict that the request has not run, and a retry-after delay. */
    REFUSE,
    /** Send the caller a refusal with the verdict that the failed request may have run. */
    FAIL,
    /** Cut the stream off, because its start was delivered already. */
    CUT_OFF
}
