package org.geraniumford.core.fleet;

import java.time.Duration;

/**
 * Tracks whether an entry can reach a backend server. Servers can lose power or be cut off from the network while
 * requests are on the way to them. Such a server is suspended for longer after each failure, and requests that may run
 * elsewhere are moved to other servers. Not thread-safe.
 */
public final class Reachability {
    /**
     * If a server with work in progress sends nothing for this long beyond the time that it needs for the work before
     * it, requests that may run elsewhere are moved.
     */
    public static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(1);

    private static final Duration FIRST_SUSPENSION = Duration.ofMillis(300);
    private static final Duration FIRST_REJECTION_SUSPENSION = Duration.ofMillis(200);
    private static final Duration LONGEST_SUSPENSION = Duration.ofSeconds(4);
    /** Keeps the doubling from overflowing; the longest suspension is reached after fewer failures. */
    private static final int MAX_DOUBLINGS = 8;

    private long lastActivityNanos;
    /** Whether activity was recorded; {@link #lastActivityNanos} is valid only then. */
    private boolean active;

    private long suspendedUntilNanos;
    private boolean suspended;
    private int consecutiveFailures;
    private int consecutiveRejections;

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
     * @param expectedWait how long the server needs for the work of all entries before it responds; with many entries,
     *     one that has little work there hears nothing of a busy server
     * @return true if more than {@link #SILENCE_TIMEOUT} and {@code expectedWait} together has passed since
     *     {@code sinceNanos} and since the last {@link #recordActivity}
     */
    public boolean isSilent(long sinceNanos, long nowNanos, Duration expectedWait) {
        boolean activeSince = active && lastActivityNanos - sinceNanos > 0;
        long silentNanos = nowNanos - (activeSince ? lastActivityNanos : sinceNanos);
        return silentNanos > SILENCE_TIMEOUT.plus(expectedWait).toNanos();
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
        consecutiveRejections = 0;
    }

    /**
     * Records that the server could not be reached or was silent for too long, and suspends it, for longer after each
     * consecutive failure.
     *
     * @param nowNanos the current time, from {@link System#nanoTime}
     */
    public void recordUnreachable(long nowNanos) {
        suspend(nowNanos, backoff(FIRST_SUSPENSION, consecutiveFailures));
        consecutiveFailures++;
    }

    /**
     * Records that the server rejected a request, and suspends the server, for longer after each consecutive rejection.
     * A server that loads weights rejects requests for seconds, and without work in progress it would be the first
     * choice of every request. Further rejections during a suspension do not change it.
     *
     * @param nowNanos the current time, from {@link System#nanoTime}
     */
    public void recordRejection(long nowNanos) {
        if (!isSuspended(nowNanos)) {
            suspend(nowNanos, backoff(FIRST_REJECTION_SUSPENSION, consecutiveRejections));
            consecutiveRejections++;
        }
    }

    private void suspend(long nowNanos, Duration duration) {
        suspended = true;
        suspendedUntilNanos = nowNanos + duration.toNanos();
    }

    private static Duration backoff(Duration first, int failures) {
        Duration duration = first.multipliedBy(1L << Math.min(failures, MAX_DOUBLINGS));
        return duration.compareTo(LONGEST_SUSPENSION) < 0 ? duration : LONGEST_SUSPENSION;
    }
}
