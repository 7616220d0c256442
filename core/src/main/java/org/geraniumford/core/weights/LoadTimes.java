package org.geraniumford.core.weights;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;

/**
 * How long servers take to drain and load, from the orders that have ended: a moving average and a moving average of
 * the differences from it.
 *
 * @param average the average time
 * @param deviation the average difference from the average time, zero or more
 */
public record LoadTimes(Duration average, Duration deviation) {
    /** How long an order that has taken longer than the average is expected to take in all, as a factor. */
    private static final int OVERDUE_FACTOR = 2;

    /** The weight of the newest order in the moving averages, as a divisor. */
    private static final int NEWEST_SHARE_DIVISOR = 5;

    /** Checks the components. */
    public LoadTimes {
        requireNonNull(average, "average is null");
        requireNonNull(deviation, "deviation is null");
    }

    // -- construction

    /**
     * Returns load times before any order has ended.
     *
     * @param assumed the time that servers are assumed to take
     * @return load times without deviation
     */
    public static LoadTimes of(Duration assumed) {
        return new LoadTimes(assumed, Duration.ZERO);
    }

    // -- queries

    /**
     * Estimates the load time while orders are pending. One that has been pending for longer than the average shows
     * that load times have grown, long before it ends.
     *
     * @param pendingTimes for how long each pending order has been pending
     * @return the estimate; the average and the deviation if no order has been pending for longer than the average
     */
    public LoadEstimate estimate(List<Duration> pendingTimes) {
        List<Duration> overdue = pendingTimes.stream()
                .filter(pending -> pending.compareTo(average) > 0)
                .toList();
        Duration atLeast = overdue.stream().reduce(average, LoadTimes::mix);
        Duration expected = overdue.stream()
                .map(pending -> pending.multipliedBy(OVERDUE_FACTOR))
                .reduce(average, LoadTimes::mix);
        return new LoadEstimate(atLeast, expected.plus(deviation));
    }

    // -- combinators

    /**
     * Returns the load times with one more order.
     *
     * @param loadTime how long the order took
     * @return the load times, in which the newest order weighs a fifth
     */
    public LoadTimes with(Duration loadTime) {
        Duration difference = loadTime.minus(average).abs();
        return new LoadTimes(mix(average, loadTime), mix(deviation, difference));
    }

    private static Duration mix(Duration average, Duration newest) {
        return average.plus(newest.minus(average).dividedBy(NEWEST_SHARE_DIVISOR));
    }
}
