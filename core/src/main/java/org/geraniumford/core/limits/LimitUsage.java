package org.geraniumford.core.limits;

import static java.util.Objects.requireNonNull;

/**
 * What one entry received and admitted of one customer since its last report, and what is still in progress.
 *
 * @param customer the customer's name
 * @param entry the entry's name
 * @param periodMicros the time since the last report, in microseconds, at least 1
 * @param requests the number of requests admitted
 * @param receivedRequests the number of requests received, including those refused
 * @param tokens the number of tokens admitted, corrected when requests end; may be negative
 * @param receivedTokens the number of tokens of the requests received, including those refused; corrected likewise
 * @param streams the number of admitted requests that have not ended, calls of plain services included
 */
public record LimitUsage(
        String customer,
        String entry,
        long periodMicros,
        long requests,
        long receivedRequests,
        long tokens,
        long receivedTokens,
        int streams) {
    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if the period is less than 1 µs
     */
    public LimitUsage {
        requireNonNull(customer, "customer is null");
        requireNonNull(entry, "entry is null");
        if (periodMicros < 1) {
            throw new IllegalArgumentException("periodMicros is " + periodMicros + ", not at least 1");
        }
    }
}
