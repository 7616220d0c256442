package org.geraniumford.transport.forward;

import static java.util.Objects.requireNonNull;

/**
 * What a server keeps for all its callers together.
 *
 * @param memory the account of the bytes that are kept
 * @param maxConnections the maximum number of open connections, at least 1
 */
public record CallerBounds(CallerMemory memory, int maxConnections) {
    /** Checks the components. */
    public CallerBounds {
        requireNonNull(memory, "memory is null");
        if (maxConnections < 1) {
            throw new IllegalArgumentException("maxConnections is less than 1: " + maxConnections);
        }
    }
}
