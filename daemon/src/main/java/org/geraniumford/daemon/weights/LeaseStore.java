package org.geraniumford.daemon.weights;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.geraniumford.core.weights.LeaseRow;
import org.geraniumford.core.weights.LeaseVersions;
import org.geraniumford.core.weights.WeightsLease;

/** Access to the row of the store that holds the weights lease. Futures complete on the network thread. */
public interface LeaseStore {
    /**
     * Reads the row.
     *
     * @return the row, and as of which version of the store
     */
    CompletableFuture<LeaseRow> read();

    /**
     * Writes the row if it has the expected version, and nobody has written it since the expected last write.
     *
     * @param expected the versions that the row and its last write must have
     * @param lease the new value
     * @return the new version, or empty if the versions are others; after a failure the row may have been written
     */
    CompletableFuture<OptionalLong> write(LeaseVersions expected, WeightsLease lease);

    /**
     * Returns an estimate of the time on the store's clock, which may be seconds behind.
     *
     * @return the time in milliseconds, advanced by the local clock since the store's last response
     */
    long nowMillis();
}
