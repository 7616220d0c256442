package org.geraniumford.daemon.gateway;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * The limits that a deployment sets on the gateway.
 *
 * @param retryRatio the number of retries allowed per request, on average
 * @param retryWindow the time window in which requests and retries are counted
 * @param retrySlack the number of retries at one service allowed to all entries together in a window, in addition to
 *     the ratio
 * @param maxWeightsStaleness how long after the publication of newer weights a request may still begin on older ones
 * @param shutdownGrace how long a process may keep running after it was ordered to stop
 */
public record GatewayLimits(
        double retryRatio,
        Duration retryWindow,
        double retrySlack,
        Duration maxWeightsStaleness,
        Duration shutdownGrace) {
    /**
     * Subtracted from the allowed staleness, because this entry may receive published weights late and a request may
     * wait at an engine before it begins.
     */
    private static final Duration WEIGHTS_STALENESS_MARGIN = Duration.ofSeconds(2);

    /** Checks the components. */
    public GatewayLimits {
        requireNonNull(retryWindow, "retryWindow is null");
        requireNonNull(maxWeightsStaleness, "maxWeightsStaleness is null");
        requireNonNull(shutdownGrace, "shutdownGrace is null");
    }

    // -- queries

    /**
     * Returns how long after the publication of newer weights this entry sends requests to servers with older ones.
     *
     * @return the allowed staleness less a margin of 2 s
     */
    public Duration usableWeightsStaleness() {
        return maxWeightsStaleness.minus(WEIGHTS_STALENESS_MARGIN);
    }
}
