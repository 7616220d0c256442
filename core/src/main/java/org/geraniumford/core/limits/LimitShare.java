package org.geraniumford.core.limits;

import static java.util.Objects.requireNonNull;

/**
 * One entry's share of a customer's limits until its next report. A share of a limit that is 0 in the configuration,
 * which means no limit, has no effect.
 *
 * @param customer the customer's name
 * @param requestsPerKilosecond the requests allowed in 1,000 seconds
 * @param tokensPerSecond the tokens allowed per second
 * @param streams the number of requests that may be in progress at once
 * @param blockedMicros the time for which nothing may be admitted, because more than the limits was admitted before, in
 *     microseconds; 0 if not blocked
 * @param reportAfterMicros the time from the last report to the next one, in microseconds
 */
public record LimitShare(
        String customer,
        long requestsPerKilosecond,
        long tokensPerSecond,
        int streams,
        long blockedMicros,
        long reportAfterMicros) {
    /** Checks that the customer is not null. */
    public LimitShare {
        requireNonNull(customer, "customer is null");
    }
}
