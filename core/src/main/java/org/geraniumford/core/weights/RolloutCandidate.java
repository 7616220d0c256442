package org.geraniumford.core.weights;

import static java.util.Objects.requireNonNull;

/**
 * A backend server as a rollout sees it.
 *
 * @param server its name
 * @param failureDomain where it stands
 * @param running how many requests of this entry it holds, a sign of how long it takes to run dry
 */
public record RolloutCandidate(String server, String failureDomain, int running) {
    /** Checks the components. */
    public RolloutCandidate {
        requireNonNull(server, "server is null");
        requireNonNull(failureDomain, "failureDomain is null");
    }
}
