package org.geraniumford.core.fleet;

import static java.util.Objects.requireNonNull;

/**
 * What one entry has in progress at one backend server.
 *
 * @param server the server's name
 * @param running the requests sent and not ended
 * @param reservedTokens the memory that they need at their end, in tokens
 * @param pendingPrefillTokens the prompt tokens that the server has probably not read yet
 */
public record ServerLoad(String server, int running, long reservedTokens, long pendingPrefillTokens) {
    /** Checks the components. */
    public ServerLoad {
        requireNonNull(server, "server is null");
    }

    // -- construction

    /**
     * Returns the load of an idle server.
     *
     * @param server the server's name
     * @return a load of nothing
     */
    public static ServerLoad idle(String server) {
        return new ServerLoad(server, 0, 0, 0);
    }

    // -- combinators

    /**
     * Adds another entry's load on the same server.
     *
     * @param other the other load
     * @return the sum
     */
    public ServerLoad plus(ServerLoad other) {
        return new ServerLoad(
                server,
                running + other.running,
                reservedTokens + other.reservedTokens,
                pendingPrefillTokens + other.pendingPrefillTokens);
    }
}
