package org.geraniumford.transport.forward;

/**
 * The limits of what is read from a server in response to one request. A server that exceeds one has failed, and its
 * connection is closed. The time is bounded by the timeout of the call.
 */
public final class ResponseLimits {
    /** The maximum number of interim responses, and of responses to other requests, that precede the response. */
    public static final int MAX_IGNORED_RESPONSES = 16;

    /** The maximum size of a response that is read whole before it is forwarded, in bytes. */
    public static final int MAX_BUFFERED_BYTES = 8 * 1024 * 1024;

    /** The maximum size of a response to one of the router's own calls, in bytes. */
    public static final int MAX_OWN_CALL_BYTES = 16 * 1024 * 1024;

    /** The maximum size of a stream in bytes. */
    public static final int MAX_STREAM_BYTES = 16 * 1024 * 1024;

    private ResponseLimits() {}
}
