package org.geraniumford.core.routing;

import static java.util.Objects.requireNonNull;

/**
 * One connected model engine, as its sidecar last described it.
 *
 * @param host the host's name
 * @param failureDomain the host's failure domain
 * @param modelVersion the model version that the engine holds
 * @param weightsDigest the digest of its weights
 * @param incarnation the engine's incarnation; 0 while it is down
 * @param leaving whether the host takes no new work
 * @param waitMicros the estimated time in its queue, in microseconds
 */
public record Backend(
        String host,
        String failureDomain,
        String modelVersion,
        String weightsDigest,
        long incarnation,
        boolean leaving,
        long waitMicros) {
    /** Checks the components. */
    public Backend {
        requireNonNull(host, "host is null");
        requireNonNull(failureDomain, "failureDomain is null");
        requireNonNull(modelVersion, "modelVersion is null");
        requireNonNull(weightsDigest, "weightsDigest is null");
    }

    // -- queries

    /**
     * Says whether the engine may be given new work.
     *
     * @return true if it is up and the host stays
     */
    public boolean isAvailable() {
        return incarnation != 0 && !leaving;
    }
}
