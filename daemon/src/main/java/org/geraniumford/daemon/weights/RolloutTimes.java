package org.geraniumford.daemon.weights;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * The bounds that the rollout of weights must keep.
 *
 * @param leaseHandoverDelay the time that must pass between orders of two holders to one server
 * @param maxStaleness how long after the publication of newer weights requests are sent to servers with older ones
 */
public record RolloutTimes(Duration leaseHandoverDelay, Duration maxStaleness) {
    /** Checks the components. */
    public RolloutTimes {
        requireNonNull(leaseHandoverDelay, "leaseHandoverDelay is null");
        requireNonNull(maxStaleness, "maxStaleness is null");
    }
}
