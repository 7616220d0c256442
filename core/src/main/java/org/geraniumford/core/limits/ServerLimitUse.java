package org.geraniumford.core.limits;

import static java.util.Objects.requireNonNull;

/**
 * What one entry announces about the limit of a backend server.
 *
 * @param server the server's name
 * @param incarnation the server's incarnation
 * @param microRequestsPerSecond the limit, in millionths of a request a second; negative if the server names none any
 *     more
 * @param namedMillis when the server last named the limit, or no limit, in milliseconds of the shared clock
 * @param usedRequests how many requests the entry has sent to the server since it first knew the limit
 * @param microBalance how many more requests the entry holds for allowed now, in millionths; negative after too many
 */
public record ServerLimitUse(
        String server,
        long incarnation,
        long microRequestsPerSecond,
        long namedMillis,
        long usedRequests,
        long microBalance) {
    /** Checks the components. */
    public ServerLimitUse {
        requireNonNull(server, "server is null");
    }
}
