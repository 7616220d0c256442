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
 */
public record RolloutCandidate(String server, String failureDomain, int version, int running, Duration timeLeft) {
    /** Checks the components. */
    public RolloutCandidate {
        requireNonNull(server, "server is null");
        requireNonNull(failureDomain, "failureDomain is null");
        requireNonNull(timeLeft, "timeLeft is null");
    }
}
