package org.geraniumford.core.fleet;

import static java.util.Objects.requireNonNull;

/**
 * A backend server that no longer takes new work.
 *
 * @param server the server's name
 * @param incarnation the server's start time, in milliseconds since the epoch
 */
public record LeavingServer(String server, long incarnation) {
    /** Checks the components. */
    public LeavingServer {
        requireNonNull(server, "server is null");
    }
}
