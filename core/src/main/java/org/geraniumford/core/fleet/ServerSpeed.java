package org.geraniumford.core.fleet;

import java.time.Duration;

/**
 * How fast an engine prefills prompts. Immutable.
 *
 * @param prefillTokensPerMs the number of prompt tokens that the engine prefills per millisecond, above 0
 */
public record ServerSpeed(double prefillTokensPerMs) {
    /** The speed of an engine that is not known yet. */
    public static final ServerSpeed UNKNOWN = new ServerSpeed(100);

    private static final double NANOS_PER_MILLI = 1_000_000;

    /**
     * Checks the component.
     *
     * @throws IllegalArgumentException if the speed is not above 0
     */
    public ServerSpeed {
        if (!(prefillTokensPerMs > 0)) {
            throw new IllegalArgumentException(prefillTokensPerMs + " tokens per ms");
        }
    }

    // -- queries

    /**
     * Estimates the time of a prefill.
     *
     * @param tokens the number of prompt tokens; a negative number counts as 0
     * @return the time in milliseconds
     */
    public double prefillMillis(long tokens) {
        return Math.max(0, tokens) / prefillTokensPerMs;
    }

    /**
     * Estimates the time of a prefill.
     *
     * @param tokens the number of prompt tokens; a negative number counts as 0
     * @return the time
     */
    public Duration prefillTime(long tokens) {
        return Duration.ofNanos(Math.round(prefillMillis(tokens) * NANOS_PER_MILLI));
    }
}
