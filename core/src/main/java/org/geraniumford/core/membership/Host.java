package org.geraniumford.core.membership;

import static java.util.Objects.requireNonNull;

/**
 * One host of the platform's list.
 *
 * @param name the host's unique name
 * @param kind what runs on it
 * @param address the host and port of its link
 * @param failureDomain its failure domain
 * @param state whether it stays
 */
public record Host(String name, HostKind kind, String address, String failureDomain, HostState state) {
    /** Checks the components. */
    public Host {
        requireNonNull(name, "name is null");
        requireNonNull(kind, "kind is null");
        requireNonNull(address, "address is null");
        requireNonNull(failureDomain, "failureDomain is null");
        requireNonNull(state, "state is null");
    }
}
