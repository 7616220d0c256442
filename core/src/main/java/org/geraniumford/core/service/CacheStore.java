package org.geraniumford.core.service;

import static java.util.Objects.requireNonNull;

/**
 * A store that keeps cached prompt segments outside the engines.
 *
 * @param address the address that the store listens on, IP:PORT
 * @param failureDomain the store's failure domain
 */
public record CacheStore(String address, String failureDomain) {
    /** Checks the components. */
    public CacheStore {
        requireNonNull(address, "address is null");
        requireNonNull(failureDomain, "failureDomain is null");
    }
}
