package org.geraniumford.core.service;

import static java.util.Objects.requireNonNull;

/**
 * A store that keeps cached prompt parts outside the engines.
 *
 * @param address where it listens, IP:PORT
 * @param failureDomain where it stands
 */
public record CacheStore(String address, String failureDomain) {
    /** Checks the components. */
    public CacheStore {
        requireNonNull(address, "address is null");
        requireNonNull(failureDomain, "failureDomain is null");
    }
}
