package org.geraniumford.core.limits;

import static java.util.Objects.requireNonNull;

/**
 * What one entry did for one customer since its last report.
 *
 * @param customer the customer's name
 * @param entry the entry's name
 * @param periodMicros the time since the last report, in microseconds, at least 1
 * @param requests the requests admitted
 * @param wantedRequests the requests asked for, also those refused
 * @param tokens the tokens admitted
 * @param wantedTokens the tokens asked for, also those refused
 * @param streams the streams open now
 */
public record LimitUsage(
        String customer,
        String entry,
        long periodMicros,
        long requests,
        long wantedRequests,
        long tokens,
        long wantedTokens,
        int streams) {
    /** Checks the components. */
    public LimitUsage {
        requireNonNull(customer, "customer is null");
        requireNonNull(entry, "entry is null");
        if (periodMicros < 1) {
            throw new IllegalArgumentException("periodMicros is " + periodMicros + ", not at least 1");
        }
    }
}
