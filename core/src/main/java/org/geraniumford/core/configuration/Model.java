package org.geraniumford.core.configuration;

import static java.util.Objects.requireNonNull;

/**
 * A model by the name that callers use, and the version that answers.
 *
 * @param name the name in requests
 * @param version the version that runners should hold
 * @param weightsDigest the digest of that version's weights
 * @param adapter the adapter's name; empty if none
 * @param runners how many runners should hold it; 0 means a fair share of all
 * @param maxTokens the longest answer, in tokens
 */
public record Model(String name, String version, String weightsDigest, String adapter, int runners, int maxTokens) {
    /** Checks the components. */
    public Model {
        requireNonNull(name, "name is null");
        requireNonNull(version, "version is null");
        requireNonNull(weightsDigest, "weightsDigest is null");
        requireNonNull(adapter, "adapter is null");
    }
}
