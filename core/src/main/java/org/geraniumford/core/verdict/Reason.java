package org.geraniumford.core.verdict;

import java.util.Locale;

/** The reasons for which a request is refused, retried or cut off. Each has its own counter. */
public enum Reason {
    /** The request body or a parameter is malformed. */
    MALFORMED_REQUEST(400, false),
    /** A call that is not idempotent has no idempotency key. */
    IDEMPOTENCY_KEY_MISSING(400, false),
    /** The API key is missing or unknown. */
    UNAUTHENTICATED(401, false),
    /** The customer is not allowed to use the model or the service. */
    FORBIDDEN(403, false),
    /** No model version of the requested name is configured. */
    UNKNOWN_MODEL(404, false),
    /** No plain service of the requested name is configured. */
    UNKNOWN_SERVICE(404, false),
    /** The router does not serve the path. */
    UNKNOWN_PATH(404, false),
    /** The path does not support the method. */
    METHOD_NOT_ALLOWED(405, false),
    /** The idempotency key was used before with a different body. */
    IDEMPOTENCY_CONFLICT(409, false),
    /** Another attempt with the same idempotency key is still running, or its outcome is unknown. */
    CALL_IN_PROGRESS(409, true),
    /** The request body exceeds the configured limit. */
    BODY_TOO_LARGE(413, false),
    /** The request line or header fields exceed the configured limit. */
    HEADER_TOO_LARGE(431, false),
    /** The customer exceeded its limit of requests per second. */
    REQUEST_RATE_LIMITED(429, true),
    /** The customer exceeded its limit of tokens per second. */
    TOKEN_RATE_LIMITED(429, true),
    /** The customer reached its limit of concurrent streams. */
    STREAMS_LIMITED(429, true),
    /** The customer used what its limit over all entries allows. */
    CUSTOMER_LIMIT_REACHED(429, true),
    /** A queue in front of the backend server is full. */
    QUEUE_FULL(503, true),
    /** The estimated wait exceeds the deadline of the priority class. */
    DEADLINE_UNREACHABLE(503, true),
    /** The deadline passed before the request was forwarded or retried. */
    DEADLINE_PASSED(503, true),
    /** No live backend server can serve the request. */
    NO_BACKEND(503, true),
    /** The backend server is leaving and takes no new work. */
    LEAVING(503, true),
    /** This process is shutting down. */
    SHUTTING_DOWN(503, true),
    /** No configuration has been accepted yet. */
    NO_CONFIGURATION(503, true),
    /** The configuration does not allow the request, but may have been replaced since. */
    CONFIGURATION_OUTDATED(503, true),
    /** The platform's table service or object store does not respond. */
    STORE_UNAVAILABLE(503, true),
    /** A ring buffer between two workers of this process is full. */
    RING_FULL(503, true),
    /** The retry budget is spent. */
    RETRY_BUDGET_SPENT(503, true),
    /** Engines ended under a segment of the prompt, one after the other. */
    SEGMENT_QUARANTINED(503, true),
    /** Servers ended under the same request, one after the other. */
    REQUEST_QUARANTINED(503, true),
    /** Every backend server that could serve the request has reached the limit that it names. */
    SERVER_LIMIT_REACHED(503, true),
    /** Every backend server that could serve the request asked for a pause. */
    SERVER_PAUSED(503, true),
    /** Nobody can tell which version of the servers' software began the stream that the caller takes up again. */
    STREAM_ORIGIN_UNKNOWN(503, true),
    /** No server has the version of the software that began the stream. */
    STREAM_SOFTWARE_GONE(503, true),
    /** The engine restarted since it was chosen. */
    STALE_INCARNATION(503, true),
    /** The engine serves other weights than the request requires. */
    WRONG_WEIGHTS(503, true),
    /** The attempt token was closed before the call was forwarded. */
    TOKEN_CLOSED(503, true),
    /** The attempt token was used for a call to the backend server before. */
    TOKEN_USED(409, false),
    /** No connection to the sidecar or backend server could be opened, or the request could not be written to it. */
    CONNECT_FAILED(502, true),
    /** The connection to the sidecar, backend server or platform was lost after the request was written. */
    CONNECTION_LOST(502, true),
    /** The backend server sent an error response. */
    BACKEND_FAILED(502, true),
    /** The process at the other end of a link sent a frame that cannot be decoded. */
    BROKEN_FRAME(502, true),
    /** A stream ended before its terminal event and could not be resumed. */
    STREAM_BROKEN(502, true),
    /** No response arrived within the time allowed. */
    TIMEOUT(504, true),
    /** The caller closed its connection. */
    CALLER_GONE(499, false),
    /** The caller's connection accepted no bytes for longer than the limit allows. */
    SLOW_READER(499, false),
    /** A defect in the router. */
    INTERNAL(500, false);

    private final int status;
    private final boolean retryable;

    Reason(int status, boolean retryable) {
        this.status = status;
        this.retryable = retryable;
    }

    // -- queries

    /**
     * Returns the HTTP status that is sent to the caller.
     *
     * @return a status code from 400 to 599
     */
    public int status() {
        return status;
    }

    /**
     * Returns whether the same request may succeed later.
     *
     * @return true if the refusal carries a retry-after delay
     */
    public boolean retryable() {
        return retryable;
    }

    /**
     * Returns the spelling used in JSON bodies, logs and metric labels.
     *
     * @return a lower-case label
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
