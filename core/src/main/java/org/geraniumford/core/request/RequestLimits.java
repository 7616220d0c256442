package org.geraniumford.core.request;

import java.time.Duration;

/**
 * The timeouts and the flow control window of one request.
 *
 * @param probeTimeout the longest wait for probe responses
 * @param pingAfter the time without a message after which a host is pinged
 * @param pongTimeout the time without a response to the ping after which the attempt at the host is ended
 * @param progressTimeout the time without progress, that is, a start, new tokens or new credit, after which an attempt
 *     with credit is ended
 * @param slowReaderTimeout the time after which the request is ended if the caller accepts no bytes
 * @param windowTokens the maximum number of output tokens in flight from the engine to the caller, at least 2
 */
public record RequestLimits(
        Duration probeTimeout,
        Duration pingAfter,
        Duration pongTimeout,
        Duration progressTimeout,
        Duration slowReaderTimeout,
        int windowTokens) {
    private static final RequestLimits DEFAULTS = new RequestLimits(
            Duration.ofMillis(20),
            Duration.ofMillis(500),
            Duration.ofSeconds(1),
            Duration.ofSeconds(30),
            Duration.ofSeconds(30),
            256);

    /**
     * Checks the window.
     *
     * @throws IllegalArgumentException if the window is less than 2 tokens
     */
    public RequestLimits {
        if (windowTokens < 2) {
            throw new IllegalArgumentException("windowTokens is " + windowTokens + ", not at least 2");
        }
    }

    // -- construction

    /**
     * Returns the default limits of an entry.
     *
     * @return 20 ms for probes; a ping after 500 ms and 1 s for its pong, that is, 1.5 s until a frozen host is
     *     detected; 30 s for an engine without progress and for a caller that accepts no bytes; and a window of 256
     *     tokens
     */
    public static RequestLimits ofDefaults() {
        return DEFAULTS;
    }
}
