package org.geraniumford.daemon.weights;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.geraniumford.core.weights.LeaseSnapshot;
import org.geraniumford.core.weights.WeightsLease;

/** The row of the store that holds the lease. Futures complete on the network thread. */
public interface LeaseStore {
    /**
     * Reads the row.
     *
     * @return the row's value and version; an empty notice if it does not exist
     */
    CompletableFuture<LeaseSnapshot> read();

    /**
     * Writes the row if it is at an expected version.
     *
     * @param expected the version that the row must have; 0 if it must not exist
     * @param lease the new value
     * @return the new version, or empty if the row has another one; after a failure it may have been written
     */
    CompletableFuture<OptionalLong> write(long expected, WeightsLease lease);

    /**
     * Returns the store's clock.
     *
     * @return milliseconds, advanced by the local clock since the last answer
     */
    long nowMillis();
}
