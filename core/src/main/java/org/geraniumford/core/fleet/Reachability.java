package org.geraniumford.core.fleet;

import java.time.Duration;

/**
 * Whether an entry can reach a backend server. It answers servers that lose power or are cut off while requests are on
 * the way to them: they are avoided for longer after each failure, and requests that may run elsewhere leave them. Not
 * thread-safe.
 */
public final class Reachability {
    /** A server that has work and sends nothing for this long loses the requests that may run elsewhere. */
    public static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(1);

    private static final Duration FIRST_SUSPENSION = Duration.ofMillis(300);
    private static final Duration LONGEST_SUSPENSION = Duration.ofSeconds(4);
    private static final int MAX_DOUBLINGS = 8;

    private long lastActivityNanos;
    private boolean recordActivity;
    private long suspendedUntilNanos;
    private boolean isSuspended;
    private int consecutiveFailures;

    private Reachability() {}

    // -- construction

    /**
     * Creates the belief about a server that nothing was sent to; it gets requests.
     *
     * @return a new belief
     */
    public static Reachability unknown() {
        return new Reachability();
    }

    // -- queries

    /**
     * Says whether the server gets no requests for now.
     *
     * @param nowNanos the time
     * @return true for a while after it turned a request away or could not be reached
     */
    public boolean isSuspended(long nowNanos) {
        return isSuspended && nowNanos - suspendedUntilNanos < 0;
    }

    /**
     * Says whether nothing came from the server for a while, on any of this entry's connections.
     *
     * @param sinceNanos when it was sent a request that it has not answered
     * @param nowNanos the time
     * @return true if it was silent for {@link #SILENCE_TIMEOUT} since then
     */
    public boolean isSilent(long sinceNanos, long nowNanos) {
        boolean heardSince = recordActivity && lastActivityNanos - sinceNanos > 0;
        return nowNanos - (heardSince ? lastActivityNanos : sinceNanos) > SILENCE_TIMEOUT.toNanos();
    }

    // -- commands

    /**
     * Notes that bytes came from the server.
     *
     * @param nowNanos the time
     */
    public void recordActivity(long nowNanos) {
        recordActivity = true;
        lastActivityNanos = nowNanos;
    }

    /** Notes that the server answered. */
    public void recordResponse() {
        isSuspended = false;
        consecutiveFailures = 0;
    }

    /**
     * Notes that the server could not be reached or was silent for too long, and suspends it, longer after each
     * failure.
     *
     * @param nowNanos the time
     */
    public void recordUnreachable(long nowNanos) {
        suspend(nowNanos, backoff(consecutiveFailures));
        consecutiveFailures++;
    }

    /**
     * Notes that the server turned a request away, and suspends it for a short while.
     *
     * @param nowNanos the time
     * @param length how long to avoid it
     */
    public void recordRejection(long nowNanos, Duration length) {
        suspend(nowNanos, length);
    }

    private void suspend(long nowNanos, Duration length) {
        isSuspended = true;
        suspendedUntilNanos = nowNanos + length.toNanos();
    }

    private static Duration backoff(int times) {
        Duration length = FIRST_SUSPENSION.multipliedBy(1L << Math.min(times, MAX_DOUBLINGS));
        return length.compareTo(LONGEST_SUSPENSION) < 0 ? length : LONGEST_SUSPENSION;
    }
}
