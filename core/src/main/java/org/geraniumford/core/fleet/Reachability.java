package org.geraniumford.core.fleet;

import java.time.Duration;

/**
 * Tracks whether an entry can reach a backend server. Servers can lose power or be cut off from the network while
 * requests are on the way to them. Such a server is suspended for longer after each failure, and requests that may run
 * elsewhere are moved to other servers. Not thread-safe.
 */
public final class Reachability {
    /** If a server with work in progress sends nothing for this long, requests that may run elsewhere are moved. */
    public static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(1);

    private static final Duration FIRST_SUSPENSION = Duration.ofMillis(300);
    private static final Duration LONGEST_SUSPENSION = Duration.ofSeconds(4);
    /** Keeps the doubling from overflowing; the longest suspension is reached after fewer failures. */
    private static final int MAX_DOUBLINGS = 8;

    private long lastActivityNanos;
    /** Whether activity was recorded; {@link #lastActivityNanos} is valid only then. */
    private boolean active;

    private long suspendedUntilNanos;
    private boolean suspended;
    private int consecutiveFailures;

    private Reachability() {}

    // -- construction

    /**
     * Creates the state of a server to which nothing was sent yet; it is not suspended.
     *
     * @return a new state
     */
    public static Reachability unknown() {
        return new Reachability();
    }

    // -- queries

    /**
     * Returns whether the server is currently avoided.
     *
     * @param nowNanos the current time, from {@link System#nanoTime}
     * @return true for a limited time after the server rejected a request, could not be reached or was silent for too
     *     long, unless it has responded successfully since
     */
    public boolean isSuspended(long nowNanos) {
        return suspended && nowNanos - suspendedUntilNanos < 0;
    }

    /**
     * Returns whether the server has sent nothing for too long, on any of this entry's connections.
     *
     * @param sinceNanos the time at which the request still in progress was sent, from {@link System#nanoTime}
     * @param nowNanos the current time, from {@link System#nanoTime}
     * @return true if more than {@link #SILENCE_TIMEOUT} has passed since {@code sinceNanos} and since the last
     *     {@link #recordActivity}
     */
    public boolean isSilent(long sinceNanos, long nowNanos) {
        boolean activeSince = active && lastActivityNanos - sinceNanos > 0;
        return nowNanos - (activeSince ? lastActivityNanos : sinceNanos) > SILENCE_TIMEOUT.toNanos();
    }

    // -- commands

    /**
     * Records that bytes were received from the server.
     *
     * @param nowNanos the current time, from {@link System#nanoTime}
     */
    public void recordActivity(long nowNanos) {
        active = true;
        lastActivityNanos = nowNanos;
    }

    /** Records a successful response from the server; this ends its suspension. */
    public void recordSuccess() {
        suspended = false;
        consecutiveFailures = 0;
    }

    /**
     * Records that the server could not be reached or was silent for too long, and suspends it, for longer after each
     * consecutive failure.
     *
     * @param nowNanos the current time, from {@link System#nanoTime}
     */
    public void recordUnreachable(long nowNanos) {
        suspend(nowNanos, backoff(consecutiveFailures));
        consecutiveFailures++;
    }

    /**
     * Records that the server rejected a request, and suspends the server. The new suspension replaces the current one,
     * even if that would last longer.
     *
     * @param nowNanos the current time, from {@link System#nanoTime}
     * @param duration the duration of the suspension
     */
    public void recordRejection(long nowNanos, Duration duration) {
        suspend(nowNanos, duration);
    }

    private void suspend(long nowNanos, Duration duration) {
        suspended = true;
        suspendedUntilNanos = nowNanos + duration.toNanos();
    }

    private static Duration backoff(int failures) {
        Duration duration = FIRST_SUSPENSION.multipliedBy(1L << Math.min(failures, MAX_DOUBLINGS));
        return duration.compareTo(LONGEST_SUSPENSION) < 0 ? duration : LONGEST_SUSPENSION;
    }
}
