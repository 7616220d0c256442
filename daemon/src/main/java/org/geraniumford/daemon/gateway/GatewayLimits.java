package org.geraniumford.daemon.gateway;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * The bounds that an installation sets on the gateway.
 *
 * @param retryRatio repeats allowed for each request
 * @param retryWindow the span in which repeats are counted
 * @param retrySlack repeats allowed to the whole system in a window besides the ratio
 * @param maxWeightsStaleness how long a request may begin on older weights after newer ones were named
 * @param shutdownGrace how long a process may run on after it was told to stop
 */
public record GatewayLimits(
        double retryRatio,
        Duration retryWindow,
        double retrySlack,
        Duration maxWeightsStaleness,
        Duration shutdownGrace) {
    /** Checks the components. */
    public GatewayLimits {
        requireNonNull(retryWindow, "retryWindow is null");
        requireNonNull(maxWeightsStaleness, "weights is null");
        requireNonNull(shutdownGrace, "grace is null");
    }
}
