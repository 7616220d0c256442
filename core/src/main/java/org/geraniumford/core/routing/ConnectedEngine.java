package org.geraniumford.core.routing;

import static java.util.Objects.requireNonNull;

/**
 * A connected model engine, as last reported by its sidecar.
 *
 * @param host the host's name
 * @param failureDomain the host's failure domain
 * @param modelVersion the model version that the engine has loaded
 * @param weightsDigest the digest of the model version's weights
 * @param incarnation the engine's incarnation; 0 while it is down or its host is suspect
 * @param leaving whether the host takes no new work
 * @param waitMicros the estimated time that a new request waits in the engine's queue, in microseconds
 */
public record ConnectedEngine(
        String host,
        String failureDomain,
        String modelVersion,
        String weightsDigest,
        long incarnation,
        boolean leaving,
        long waitMicros) {
    /** Checks the components. */
    public ConnectedEngine {
        requireNonNull(host, "host is null");
        requireNonNull(failureDomain, "failureDomain is null");
        requireNonNull(modelVersion, "modelVersion is null");
        requireNonNull(weightsDigest, "weightsDigest is null");
    }

    // -- queries

    /**
     * Returns whether the engine can be sent new work.
     *
     * @return true if the engine is up and its host is not leaving
     */
    public boolean isAvailable() {
        return incarnation != 0 && !leaving;
    }
}
