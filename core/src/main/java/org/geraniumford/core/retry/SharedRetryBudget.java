package org.geraniumford.core.retry;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One entry's share of a service's retry budget. Within any window the whole system may send as many repeats as a ratio
 * of the requests plus a fixed slack; each entry takes the ratio of its own requests and an equal part of the slack, so
 * that the sum stays within the budget without a message for each repeat. Not thread-safe.
 */
public final class SharedRetryBudget {
    /** The part of the budget that is used, since windows of entries do not start together. */
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
     * Creates a budget that nothing was taken from.
     *
     * @param ratio repeats allowed for each request
     * @param window the span in which repeats are counted
     * @param slack repeats allowed to the whole system in a window besides the ratio
     * @return a new budget
     */
    public static SharedRetryBudget of(double ratio, Duration window, double slack) {
        return new SharedRetryBudget(ratio, requireNonNull(window, "window is null"), slack);
    }

    // -- queries

    /**
     * Says whether the budget holds a repeat.
     *
     * @param nowNanos the time
     * @param entries how many entries share the slack, this one included
     * @return true if {@link #tryAcquire} would succeed
     */
    public boolean isAvailable(long nowNanos, int entries) {
        removeExpired(requestTimes, nowNanos);
        removeExpired(retryTimes, nowNanos);
        return retryTimes.size() + 1 <= USABLE_FRACTION * (ratio * requestTimes.size() + slack / Math.max(1, entries));
    }

    // -- commands

    /**
     * Notes a request, which earns a part of a repeat.
     *
     * @param nowNanos the time
     */
    public void recordRequest(long nowNanos) {
        removeExpired(requestTimes, nowNanos);
        requestTimes.addLast(nowNanos);
    }

    /**
     * Takes one repeat if the budget holds one.
     *
     * @param nowNanos the time
     * @param entries how many entries share the slack, this one included
     * @return true if the repeat may be sent
     */
    public boolean tryAcquire(long nowNanos, int entries) {
        if (!isAvailable(nowNanos, entries)) {
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
