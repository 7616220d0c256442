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
    private static final double USED_PART = 0.8;

    private final double ratio;
    private final Duration window;
    private final double slack;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> repeats = new ArrayDeque<>();

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
     * @return true if {@link #take} would succeed
     */
    public boolean available(long nowNanos, int entries) {
        forget(requests, nowNanos);
        forget(repeats, nowNanos);
        return repeats.size() + 1 <= USED_PART * (ratio * requests.size() + slack / Math.max(1, entries));
    }

    // -- commands

    /**
     * Notes a request, which earns a part of a repeat.
     *
     * @param nowNanos the time
     */
    public void request(long nowNanos) {
        forget(requests, nowNanos);
        requests.addLast(nowNanos);
    }

    /**
     * Takes one repeat if the budget holds one.
     *
     * @param nowNanos the time
     * @param entries how many entries share the slack, this one included
     * @return true if the repeat may be sent
     */
    public boolean take(long nowNanos, int entries) {
        if (!available(nowNanos, entries)) {
            return false;
        }
        repeats.addLast(nowNanos);
        return true;
    }

    private void forget(Deque<Long> times, long nowNanos) {
        while (!times.isEmpty() && nowNanos - times.peekFirst() > window.toNanos()) {
            times.removeFirst();
        }
    }
}
