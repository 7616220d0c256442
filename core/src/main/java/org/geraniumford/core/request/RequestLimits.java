package org.geraniumford.core.request;

import java.time.Duration;

/**
 * The times and amounts that bound one request.
 *
 * @param probeTimeout the longest wait for probe answers
 * @param pingAfter the silence after which a host is asked whether it lives
 * @param pongTimeout the wait for that answer after which the host is given up
 * @param progressTimeout the longest time in which a host makes no progress although it may
 * @param slowReaderTimeout the longest time in which the caller takes nothing
 * @param windowTokens the number of answer tokens in flight to the caller, at least 2
 */
public record RequestLimits(
        Duration probeTimeout,
        Duration pingAfter,
        Duration pongTimeout,
        Duration progressTimeout,
        Duration slowReaderTimeout,
        int windowTokens) {
    private static final RequestLimits STANDARD = new RequestLimits(
            Duration.ofMillis(20),
            Duration.ofMillis(500),
            Duration.ofSeconds(1),
            Duration.ofSeconds(30),
            Duration.ofSeconds(30),
            256);

    /** Checks the components. */
    public RequestLimits {
        if (windowTokens < 2) {
            throw new IllegalArgumentException("window is " + windowTokens + ", not at least 2");
        }
    }

    // -- construction

    /**
     * Returns the limits of an entry.
     *
     * @return 20 ms for probes, 1.5 s for a frozen host, 30 s for stalled engines and callers, 256 tokens
     */
    public static RequestLimits ofDefaults() {
        return STANDARD;
    }
}
