package org.geraniumford.core.orders;

import static java.util.Objects.requireNonNull;

/**
 * What an engine should hold.
 *
 * @param version the model version
 * @param weightsDigest the digest of its weights
 */
public record EngineTarget(String version, String weightsDigest) {
    /** Checks the components. */
    public EngineTarget {
        requireNonNull(version, "version is null");
        requireNonNull(weightsDigest, "weightsDigest is null");
    }
}
