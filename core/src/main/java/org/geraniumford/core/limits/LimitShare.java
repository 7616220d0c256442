package org.geraniumford.core.limits;

import static java.util.Objects.requireNonNull;

/**
 * What one entry may do for one customer until its next report.
 *
 * @param customer the customer's name
 * @param requestsPerKilosecond the requests in 1,000 seconds
 * @param tokensPerSecond the tokens a second
 * @param streams the streams that may be open
 * @param blockedMicros how long nothing may be admitted, because too much was; 0 if not at all
 * @param reportAfterMicros when to report next, in microseconds
 */
public record LimitShare(
        String customer,
        long requestsPerKilosecond,
        long tokensPerSecond,
        int streams,
        long blockedMicros,
        long reportAfterMicros) {
    /** Checks the components. */
    public LimitShare {
        requireNonNull(customer, "customer is null");
    }
}
