package org.geraniumford.core.fleet;

import java.time.Duration;
import java.util.OptionalDouble;

/**
 * How long a plain service's server works on one request, learned from its responses. Immutable.
 *
 * @param meanMillis the moving average in milliseconds; empty before the first response
 */
public record RequestTime(OptionalDouble meanMillis) {
    /** The time at a server that has not responded yet. */
    public static final RequestTime UNKNOWN = new RequestTime(OptionalDouble.empty());

    /** The weight of the newest response, from 0 to 1. */
    private static final double SMOOTHING = 0.1;

    /** One response counts at most as this multiple of the average, so that a single slow one changes it little. */
    private static final double MAX_RATIO = 3;

    private static final double NANOS_PER_MILLI = 1_000_000;

    // -- queries

    /**
     * Estimates when a server would respond to a new request.
     *
     * @param running the requests of all entries in progress at the server
     * @param slots how many requests the server processes concurrently
     * @return the time in milliseconds for the waiting and the request itself; empty if it is not known
     */
    public OptionalDouble millisToResponse(int running, int slots) {
        return meanMillis.isEmpty()
                ? OptionalDouble.empty()
                : OptionalDouble.of(meanMillis.getAsDouble() * rounds(running + 1, slots));
    }

    // -- combinators

    /**
     * Returns the estimate after a response.
     *
     * @param elapsed the time since the request was sent
     * @param runningAtStart the requests in progress then, this one included
     * @param slots how many requests the server processes concurrently
     * @return a new estimate; the time that the request waited for a slot is not counted
     */
    public RequestTime withResponse(Duration elapsed, int runningAtStart, int slots) {
        double millis = elapsed.toNanos() / NANOS_PER_MILLI / rounds(runningAtStart, slots);
        if (meanMillis.isEmpty()) {
            return new RequestTime(OptionalDouble.of(millis));
        }
        double mean = meanMillis.getAsDouble();
        double bounded = Math.min(millis, MAX_RATIO * mean);
        return new RequestTime(OptionalDouble.of(mean + SMOOTHING * (bounded - mean)));
    }

    /** Returns how many times all slots are taken until the last of the requests has ended, at least 1. */
    private static double rounds(int requests, int slots) {
        return Math.max(1, Math.ceil((double) requests / Math.max(1, slots)));
    }
}
