package org.geraniumford.core.fleet;

import static java.util.Objects.requireNonNull;

import java.util.Map;

/**
 * A backend server, as described by its listing, the row with which it registers in the server list.
 *
 * @param id the server's name, unique to one server; a restarted server keeps its name
 * @param incarnation the server's start time, in milliseconds since the epoch; 0 if the listing has none
 * @param service the name of the service that the server belongs to
 * @param address the address that the server listens on, IP:PORT
 * @param failureDomain the server's failure domain
 * @param softwareVersion the version of the server's software; empty if the listing names none
 * @param slots the maximum number of requests that the server processes concurrently
 * @param leaving whether the server takes no new work
 * @param weightsVersions the version of the weights that the server has loaded, by the name of the model
 */
public record BackendServer(
        String id,
        long incarnation,
        String service,
        String address,
        String failureDomain,
        String softwareVersion,
        int slots,
        boolean leaving,
        Map<String, Integer> weightsVersions) {
    /** Checks and copies the components. */
    public BackendServer {
        requireNonNull(id, "id is null");
        requireNonNull(service, "service is null");
        requireNonNull(address, "address is null");
        requireNonNull(failureDomain, "failureDomain is null");
        requireNonNull(softwareVersion, "softwareVersion is null");
        weightsVersions = Map.copyOf(weightsVersions);
    }

    // -- construction

    /**
     * Creates a server whose listing names no version of its software.
     *
     * @param id as above
     * @param incarnation as above
     * @param service as above
     * @param address as above
     * @param failureDomain as above
     * @param slots as above
     * @param leaving as above
     * @param weightsVersions as above
     */
    public BackendServer(
            String id,
            long incarnation,
            String service,
            String address,
            String failureDomain,
            int slots,
            boolean leaving,
            Map<String, Integer> weightsVersions) {
        this(id, incarnation, service, address, failureDomain, "", slots, leaving, weightsVersions);
    }

    // -- combinators

    /**
     * Returns a copy of this server that is marked as leaving.
     *
     * @return the same server, taking no new work
     */
    public BackendServer asLeaving() {
        return new BackendServer(
                id, incarnation, service, address, failureDomain, softwareVersion, slots, true, weightsVersions);
    }
}
