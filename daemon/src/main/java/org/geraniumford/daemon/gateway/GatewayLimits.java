package org.geraniumford.daemon.gateway;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import org.geraniumford.core.limits.QuotaTolerance;

/**
 * The limits that a deployment sets on the gateway.
 *
 * @param retryRatio the number of retries allowed per request, on average
 * @param retryWindow the time window in which requests and retries are counted
 * @param retrySlack the number of retries at one service allowed to all entries together in a window, in addition to
 *     the ratio
 * @param maxWeightsStaleness how long after the publication of newer weights a request may still begin on older ones
 * @param shutdownGrace how long a process may keep running after it was ordered to stop
 * @param quotaTolerance by how much the entries together may exceed a customer's limit
 */
public record GatewayLimits(
        double retryRatio,
        Duration retryWindow,
        double retrySlack,
        Duration maxWeightsStaleness,
        Duration shutdownGrace,
        QuotaTolerance quotaTolerance) {
    /** The time in which a request that is sent is expected to begin at its engine. */
    private static final Duration EXPECTED_TIME_TO_BEGIN = Duration.ofSeconds(1);

    /**
     * Covers the time from the check of a waiting request until its engine has seen the closed connection, and the
     * error of the age.
     */
    private static final Duration WITHDRAWAL_MARGIN = Duration.ofSeconds(1);

    /** Checks the components. */
    public GatewayLimits {
        requireNonNull(retryWindow, "retryWindow is null");
        requireNonNull(maxWeightsStaleness, "maxWeightsStaleness is null");
        requireNonNull(shutdownGrace, "shutdownGrace is null");
        requireNonNull(quotaTolerance, "quotaTolerance is null");
    }

    // -- queries

    /**
     * Returns how long after the publication of newer weights this entry sends requests to servers with older ones.
     *
     * @return the allowed staleness less 2 s
     */
    public Duration usableWeightsStaleness() {
        return beginWeightsStaleness().minus(EXPECTED_TIME_TO_BEGIN);
    }

    /**
     * Returns how long after the publication of newer weights this entry lets a request that it has sent wait at a
     * server with older ones.
     *
     * @return the allowed staleness less 1 s
     */
    public Duration beginWeightsStaleness() {
        return maxWeightsStaleness.minus(WITHDRAWAL_MARGIN);
    }
}
