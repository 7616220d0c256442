package org.geraniumford.core.orders;

import java.time.Duration;

/**
 * The durations that make orders safe.
 *
 * @param leaseNanos for how long a lease holds after the write that takes or renews it was begun, in nanoseconds
 * @param longestOrderNanos the longest time from sending an order until the engine has carried it out, in nanoseconds
 * @param ticketTimeoutNanos after which an unchanged load ticket counts as abandoned, in nanoseconds
 * @param retryDelayNanos the time to the next try after the store failed or an order was refused, in nanoseconds
 */
public record OrderTimes(long leaseNanos, long longestOrderNanos, long ticketTimeoutNanos, long retryDelayNanos) {
    /**
     * Returns times that fit loads of about a second.
     *
     * @return a lease of 5 s, orders of up to 10 s, tickets of 30 s, a retry after 1 s
     */
    public static OrderTimes ofDefaults() {
        return new OrderTimes(
                Duration.ofSeconds(5).toNanos(),
                Duration.ofSeconds(10).toNanos(),
                Duration.ofSeconds(30).toNanos(),
                Duration.ofSeconds(1).toNanos());
    }
}
