package org.geraniumford.core.orders;

import java.time.Duration;

/**
 * The durations that the safety of orders depends on.
 *
 * @param leaseNanos how long a lease is valid after the write that acquires or renews it was begun, in nanoseconds
 * @param longestOrderNanos the longest time from sending an order until the engine has carried it out, in nanoseconds
 * @param ticketTimeoutNanos the time after which an unchanged load ticket counts as abandoned, in nanoseconds
 * @param stepDelayNanos the delay before the next step towards an order after a store operation failed or conflicted,
 *     no ticket was free, or an order ended, in nanoseconds
 */
public record OrderTimes(long leaseNanos, long longestOrderNanos, long ticketTimeoutNanos, long stepDelayNanos) {
    /**
     * Returns the default times, which fit engines that load weights in about a second.
     *
     * @return a lease of 5 s, orders of up to 10 s, a ticket timeout of 30 s, and a step delay of 1 s
     */
    public static OrderTimes ofDefaults() {
        return new OrderTimes(
                Duration.ofSeconds(5).toNanos(),
                Duration.ofSeconds(10).toNanos(),
                Duration.ofSeconds(30).toNanos(),
                Duration.ofSeconds(1).toNanos());
    }
}
