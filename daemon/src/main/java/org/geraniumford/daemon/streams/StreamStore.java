package org.geraniumford.daemon.streams;

import java.util.Collection;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.geraniumford.core.stream.SoftwareHistory;
import org.geraniumford.core.stream.StreamBatch;

/** Access to the rows of the store that outlast the entries. Futures complete on the network thread. */
public interface StreamStore {
    /**
     * Reads all rows.
     *
     * @return what they hold; rows that cannot be read are left out
     */
    CompletableFuture<StreamRecords> read();

    /**
     * Returns whether a read may return an older state than the newest one.
     *
     * @return true if a version or a stream that the rows lack may have been recorded
     */
    boolean mayBeBehind();

    /**
     * Writes the row of the history if it has the expected version.
     *
     * @param expectedVersion the version that the row must have; 0 if it must not exist
     * @param history the new value
     * @return the new version, or empty if the row has another version; after a failure the row may have been written
     */
    CompletableFuture<OptionalLong> writeHistory(long expectedVersion, SoftwareHistory history);

    /**
     * Writes a row of streams, and removes others.
     *
     * @param key the key of the new row
     * @param batch its value
     * @param expiredKeys the keys of the rows to remove, at most {@value #MAX_EXPIRED}
     * @return completed once the store has acknowledged the change; after a failure it may have been made
     */
    CompletableFuture<Void> writeBatch(String key, StreamBatch batch, Collection<String> expiredKeys);

    /** The largest number of rows that one call removes. */
    int MAX_EXPIRED = 90;
}
