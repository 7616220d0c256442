package org.geraniumford.core.fleet;

import java.time.Duration;

/**
 * That a server rejected a request for lack of room a short time ago, as one entry saw it. The server counts as full
 * for requests that are no more urgent, because loads from other entries arrive late. Not thread-safe; times are from
 * {@link System#nanoTime}.
 */
public final class RejectionMark {
    /** An engine of the specification ends about 8 requests in this time. */
    private static final Duration FIRST_DURATION = Duration.ofMillis(200);

    /**
     * The longest time, reached by rejections without a success between them. An engine that loads weights rejects for
     * 570 ms; a longer mark would leave it idle afterwards.
     */
    private static final Duration LONGEST_DURATION = Duration.ofMillis(800);

    private static final int MAX_DOUBLINGS = 2;

    private boolean marked;
    private int priority;
    private long untilNanos;
    private int consecutive;

    private RejectionMark() {}

    // -- construction

    /**
     * Creates the record of a server that rejected nothing.
     *
     * @return a new record
     */
    public static RejectionMark none() {
        return new RejectionMark();
    }

    // -- queries

    /**
     * Returns whether a request should not be sent to the server.
     *
     * @param requestPriority the priority of the request
     * @param nowNanos the current time
     * @return true for a short time after the server rejected a request that is at least as urgent
     */
    public boolean isFull(int requestPriority, long nowNanos) {
        return requestPriority >= priority && !timeLeft(nowNanos).isZero();
    }

    /**
     * Returns how long the server still counts as full.
     *
     * @param nowNanos the current time
     * @return the time left; zero if it does not
     */
    public Duration timeLeft(long nowNanos) {
        return marked && nowNanos - untilNanos < 0 ? Duration.ofNanos(untilNanos - nowNanos) : Duration.ZERO;
    }

    // -- commands

    /**
     * Records a rejection. A rejection while the server counts as full only lowers the priority, because it may be the
     * response to a request that was sent before.
     *
     * @param rejectedPriority the priority of the rejected request
     * @param nowNanos the current time
     */
    public void recordRejection(int rejectedPriority, long nowNanos) {
        if (!timeLeft(nowNanos).isZero()) {
            priority = Math.min(priority, rejectedPriority);
            return;
        }
        Duration duration = FIRST_DURATION.multipliedBy(1L << Math.min(consecutive, MAX_DOUBLINGS));
        untilNanos = nowNanos + (duration.compareTo(LONGEST_DURATION) < 0 ? duration : LONGEST_DURATION).toNanos();
        marked = true;
        priority = rejectedPriority;
        consecutive++;
    }

    /** Records a successful response, after which the server no longer counts as full. */
    public void recordSuccess() {
        marked = false;
        consecutive = 0;
    }
}
