package org.geraniumford.core.service;

import static java.util.Objects.requireNonNull;

/**
 * A store that keeps cached prompt segments outside the engines.
 *
 * @param address the address that the store listens on, IP:PORT
 * @param failureDomain the store's failure domain
 * @param linkMegabits the bandwidth of the store's link in megabits per second; 0 if it is not known
 */
public record CacheStore(String address, String failureDomain, double linkMegabits) {
    /** Checks the components. */
    public CacheStore {
        requireNonNull(address, "address is null");
        requireNonNull(failureDomain, "failureDomain is null");
    }

    /**
     * Creates a store with a link of unknown bandwidth.
     *
     * @param address the address that the store listens on, IP:PORT
     * @param failureDomain the store's failure domain
     */
    public CacheStore(String address, String failureDomain) {
        this(address, failureDomain, 0);
    }
}
