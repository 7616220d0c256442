package org.geraniumford.core.membership;

import static java.util.Objects.requireNonNull;

/**
 * A host in the platform's host list.
 *
 * @param name the host's unique name
 * @param kind the kind of process that runs on the host
 * @param address the address at which the host's process accepts links, in the form {@code ADDRESS:PORT}
 * @param failureDomain the host's failure domain
 * @param state whether the host takes new work
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
