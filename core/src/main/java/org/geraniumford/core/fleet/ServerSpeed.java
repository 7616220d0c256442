package org.geraniumford.core.fleet;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.OptionalDouble;

/**
 * How fast a server works. Immutable.
 *
 * @param prefillTokensPerMs the number of prompt tokens that the engine prefills per millisecond, above 0
 * @param stepMs the time between two output tokens of one response, in milliseconds; empty if it is not known
 * @param requestMs the time that a plain service takes for a request once it has a slot, in milliseconds; empty if it
 *     is not known, and for an engine
 */
public record ServerSpeed(double prefillTokensPerMs, OptionalDouble stepMs, OptionalDouble requestMs) {
    /** The speed of an engine that is not known yet. */
    public static final ServerSpeed UNKNOWN = ofPrefill(100);

    private static final double NANOS_PER_MILLI = 1_000_000;

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if the speed of prefills is not above 0
     */
    public ServerSpeed {
        if (!(prefillTokensPerMs > 0)) {
            throw new IllegalArgumentException(prefillTokensPerMs + " tokens per ms");
        }
        requireNonNull(stepMs, "stepMs is null");
        requireNonNull(requestMs, "requestMs is null");
    }

    // -- construction

    /**
     * Returns the speed of an engine of which only the speed of prefills is known.
     *
     * @param prefillTokensPerMs the number of prompt tokens that the engine prefills per millisecond, above 0
     * @return a new speed
     */
    public static ServerSpeed ofPrefill(double prefillTokensPerMs) {
        return new ServerSpeed(prefillTokensPerMs, OptionalDouble.empty(), OptionalDouble.empty());
    }

    // -- combinators

    /** Returns this speed with at most the given number of prompt tokens per millisecond. */
    ServerSpeed limitedTo(double maxPrefillTokensPerMs) {
        return new ServerSpeed(Math.min(prefillTokensPerMs, maxPrefillTokensPerMs), stepMs, requestMs);
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

    /**
     * Estimates when a server of a plain service would respond to a new request.
     *
     * @param running the requests of all entries in progress at the server
     * @param slots how many requests the server processes concurrently
     * @return the time in milliseconds for the waiting and the request itself; empty if it is not known
     */
    public OptionalDouble millisToResponse(int running, int slots) {
        double rounds = Math.max(1, Math.ceil((running + 1.0) / Math.max(1, slots)));
        return requestMs.isEmpty() ? requestMs : OptionalDouble.of(requestMs.getAsDouble() * rounds);
    }

    /**
     * Returns whether another speed differs by more than a factor in any component that both know, or one of them knows
     * a component that the other does not.
     *
     * @param other the other speed
     * @param factor the factor, above 1
     * @return true if the difference is larger
     */
    public boolean differs(ServerSpeed other, double factor) {
        return differs(prefillTokensPerMs, other.prefillTokensPerMs, factor)
                || differs(stepMs.orElse(0), other.stepMs.orElse(0), factor)
                || differs(requestMs.orElse(0), other.requestMs.orElse(0), factor);
    }

    private static boolean differs(double a, double b, double factor) {
        return Math.max(a, b) > factor * Math.min(a, b);
    }
}
