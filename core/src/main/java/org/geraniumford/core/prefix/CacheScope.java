package org.geraniumford.core.prefix;

import static java.util.Objects.requireNonNull;

/**
 * The scope within which cached prefixes are shared. Prefixes of different scopes never share a key.
 *
 * @param customer the customer's name
 * @param weightsDigest the digest of the model version's weights
 * @param adapter the adapter's name; empty if there is none
 */
public record CacheScope(String customer, String weightsDigest, String adapter) {
    /** Checks the components. */
    public CacheScope {
        requireNonNull(customer, "customer is null");
        requireNonNull(weightsDigest, "weightsDigest is null");
        requireNonNull(adapter, "adapter is null");
    }
}
