package org.geraniumford.core.configuration;

import static java.util.Objects.requireNonNull;

/**
 * A model that callers request by name, and the version of it that runners should serve.
 *
 * @param name the name in requests
 * @param version the version that runners should load
 * @param weightsDigest the digest of that version's weights
 * @param adapter the adapter's name; empty if the model has none
 * @param runners the number of runners that should load it; the models with 0 equally share the runners that the other
 *     models leave
 * @param maxTokens the maximum length of a response, in tokens
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
