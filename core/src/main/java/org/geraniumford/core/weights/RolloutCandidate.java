package org.geraniumford.core.weights;

import static java.util.Objects.requireNonNull;

/**
 * A backend server as a rollout sees it.
 *
 * @param server its name
 * @param failureDomain where it stands
 * @param version the version that it holds; 0 if it is not known
 * @param running how many requests of this entry it holds, a sign of how long it takes to run dry
 */
public record RolloutCandidate(String server, String failureDomain, int version, int running) {
    /** Checks the components. */
    public RolloutCandidate {
        requireNonNull(server, "server is null");
        requireNonNull(failureDomain, "failureDomain is null");
    }
}
