package org.geraniumford.core.orders;

import static java.util.Objects.requireNonNull;

/**
 * The model version that an engine should have loaded.
 *
 * @param version the name of the model version
 * @param weightsDigest the digest of the weights of that version
 */
public record EngineTarget(String version, String weightsDigest) {
    /** Checks the components. */
    public EngineTarget {
        requireNonNull(version, "version is null");
        requireNonNull(weightsDigest, "weightsDigest is null");
    }
}
