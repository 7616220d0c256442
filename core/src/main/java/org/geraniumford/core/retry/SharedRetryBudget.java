package org.geraniumford.core.retry;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One entry's share of a service's retry budget. In any window, the retries of all entries together are limited to a
 * fixed ratio of their requests plus a fixed slack. Each entry uses the ratio of its own requests and an equal part of
 * the slack, so that the sum stays within the budget without a message for each retry. Not thread-safe.
 */
public final class SharedRetryBudget {
    /** The fraction of the budget that is used, because the windows of the entries are not aligned. */
    private static final double USABLE_FRACTION = 0.8;

    private final double ratio;
    private final Duration window;
    private final double slack;
    private final Deque<Long> requestTimes = new ArrayDeque<>();
    private final Deque<Long> retryTimes = new ArrayDeque<>();

    private SharedRetryBudget(double ratio, Duration window, double slack) {
        this.ratio = ratio;
        this.window = window;
        this.slack = slack;
    }

    // -- construction

    /**
     * Creates an unused budget.
     *
     * @param ratio the number of retries allowed for each request
     * @param window the length of the sliding window in which requests and retries are counted
     * @param slack the number of retries allowed to all entries together in a window, in addition to the ratio
     * @return a new budget
     */
    public static SharedRetryBudget of(double ratio, Duration window, double slack) {
        return new SharedRetryBudget(ratio, requireNonNull(window, "window is null"), slack);
    }

    // -- queries

    /**
     * Returns whether a retry is available.
     *
     * @param nowNanos the current time, in nanoseconds of a monotonic clock
     * @param entryCount the number of entries that share the slack, this one included
     * @return true if {@link #tryAcquire} would succeed
     */
    public boolean isAvailable(long nowNanos, int entryCount) {
        removeExpired(requestTimes, nowNanos);
        removeExpired(retryTimes, nowNanos);
        return retryTimes.size() + 1
                <= USABLE_FRACTION * (ratio * requestTimes.size() + slack / Math.max(1, entryCount));
    }

    // -- commands

    /**
     * Records a request, which earns a fraction of a retry.
     *
     * @param nowNanos the current time, in nanoseconds
     */
    public void recordRequest(long nowNanos) {
        removeExpired(requestTimes, nowNanos);
        requestTimes.addLast(nowNanos);
    }

    /**
     * Consumes one retry if one is available.
     *
     * @param nowNanos the current time, in nanoseconds
     * @param entryCount the number of entries that share the slack, this one included
     * @return true if the retry may be sent
     */
    public boolean tryAcquire(long nowNanos, int entryCount) {
        if (!isAvailable(nowNanos, entryCount)) {
            return false;
        }
        retryTimes.addLast(nowNanos);
        return true;
    }

    private void removeExpired(Deque<Long> times, long nowNanos) {
        while (!times.isEmpty() && nowNanos - times.peekFirst() > window.toNanos()) {
            times.removeFirst();
        }
    }
}
