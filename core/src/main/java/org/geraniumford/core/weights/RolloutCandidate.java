package org.geraniumford.core.weights;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * A backend server that may be ordered to load newer weights.
 *
 * @param server the id of the server
 * @param failureDomain the failure domain of the server
 * @param version the version of the weights that it has loaded; 0 if not known
 * @param running how many requests it is running, an indication of how long it takes to drain
 * @param timeLeft how much longer requests may begin on its weights; zero or negative if they no longer may, or if it
 *     is not known
 * @param completionTimeLeft how much longer it may take until the server has newer weights; zero or negative if that
 *     time is over, not known or not limited
 */
public record RolloutCandidate(
        String server, String failureDomain, int version, int running, Duration timeLeft, Duration completionTimeLeft) {
    /** Checks the components. */
    public RolloutCandidate {
        requireNonNull(server, "server is null");
        requireNonNull(failureDomain, "failureDomain is null");
        requireNonNull(timeLeft, "timeLeft is null");
        requireNonNull(completionTimeLeft, "completionTimeLeft is null");
    }

    // -- queries

    /** Returns whether requests no longer begin on the server's weights, so that it serves nothing until it loads. */
    boolean isExpired() {
        return timeLeft.isNegative();
    }

    /**
     * Returns whether the server has newer weights in time only if it is ordered now.
     *
     * @param loadEstimate how long one server takes to drain and load
     * @param margin the time before the last moment at which it is ordered
     */
    boolean isDue(LoadEstimate loadEstimate, Duration margin) {
        return completionTimeLeft.compareTo(loadEstimate.atLeast()) >= 0
                && completionTimeLeft.compareTo(loadEstimate.expected().plus(margin)) <= 0;
    }
}
