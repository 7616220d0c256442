package org.geraniumford.core.weights;

import static java.util.Objects.requireNonNull;

/**
 * A backend server that may be ordered to load newer weights.
 *
 * @param server the id of the server
 * @param failureDomain the failure domain of the server
 * @param version the version of the weights that it has loaded; 0 if not known
 * @param running how many requests it is running, an indication of how long it takes to drain
 */
public record RolloutCandidate(String server, String failureDomain, int version, int running) {
    /** Checks the components. */
    public RolloutCandidate {
        requireNonNull(server, "server is null");
        requireNonNull(failureDomain, "failureDomain is null");
    }
}
