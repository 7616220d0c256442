package org.geraniumford.core.weights;

import static java.util.Objects.requireNonNull;

/**
 * Identifies an order, however often its intent is renewed. No two orders have the same key, because only one write
 * succeeds for each version of the row.
 *
 * @param server the id of the backend server that receives the order
 * @param fencingToken the fencing token of the term in which the order is issued
 * @param rowVersion the version of the lease row that the write of the intent replaced; that of the store as last read
 *     if there was no row
 */
public record OrderKey(String server, long fencingToken, long rowVersion) {
    /** Checks the components. */
    public OrderKey {
        requireNonNull(server, "server is null");
    }

    // -- queries

    /**
     * Returns whether a server that has read this order has read another one as well, or never will.
     *
     * @param other the other order
     * @return true if the other one is of the same term and server, and not recorded later
     */
    public boolean isSameOrLaterThan(OrderKey other) {
        return server.equals(other.server) && fencingToken == other.fencingToken && rowVersion >= other.rowVersion;
    }
}
