package org.geraniumford.core.fleet;

import static java.util.Objects.requireNonNull;

import java.util.Map;

/**
 * A backend server as it lists itself.
 *
 * @param id its name, unique to one server; it may start again under the same name
 * @param incarnation the time of its start, in milliseconds since the epoch; 0 if it does not tell
 * @param service the service that it belongs to
 * @param address where it listens, IP:PORT
 * @param failureDomain where it stands
 * @param slots how many requests it processes at once
 * @param leaving whether it takes no new work
 * @param weightsVersions the version of each model's weights that it holds
 */
public record BackendServer(
        String id,
        long incarnation,
        String service,
        String address,
        String failureDomain,
        int slots,
        boolean leaving,
        Map<String, Integer> weightsVersions) {
    /** Checks and copies the components. */
    public BackendServer {
        requireNonNull(id, "id is null");
        requireNonNull(service, "service is null");
        requireNonNull(address, "address is null");
        requireNonNull(failureDomain, "failureDomain is null");
        weightsVersions = Map.copyOf(weightsVersions);
    }

    // -- combinators

    /**
     * Returns this server, taking no new work.
     *
     * @return a server that is leaving
     */
    public BackendServer asLeaving() {
        return new BackendServer(id, incarnation, service, address, failureDomain, slots, true, weightsVersions);
    }
}
