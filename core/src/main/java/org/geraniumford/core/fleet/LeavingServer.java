package org.geraniumford.core.fleet;

import static java.util.Objects.requireNonNull;

/**
 * A backend server that takes no new work any more.
 *
 * @param server its name
 * @param incarnation the time of its start, in milliseconds since the epoch
 */
public record LeavingServer(String server, long incarnation) {
    /** Checks the components. */
    public LeavingServer {
        requireNonNull(server, "server is null");
    }
}
