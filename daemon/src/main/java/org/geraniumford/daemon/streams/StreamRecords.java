package org.geraniumford.daemon.streams;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Map;
import org.geraniumford.core.stream.SoftwareHistory;
import org.geraniumford.core.stream.StreamBatch;
import org.geraniumford.core.stream.StreamOrigin;

/**
 * What the store holds of streams and of the versions of servers' software.
 *
 * @param readMillis when it was read, in milliseconds of the store's clock
 * @param historyVersion the version of the row of the history; 0 if there is none
 * @param history the history; empty if there is none or it cannot be read
 * @param batches the recorded streams, by the keys of their rows
 */
public record StreamRecords(
        long readMillis, long historyVersion, SoftwareHistory history, Map<String, StreamBatch> batches) {
    /** Checks and copies the components. */
    public StreamRecords {
        requireNonNull(history, "history is null");
        batches = Map.copyOf(batches);
    }

    // -- queries

    List<StreamOrigin> origins() {
        return batches.values().stream()
                .flatMap(batch -> batch.origins().stream())
                .toList();
    }
}
