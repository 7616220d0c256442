package org.geraniumford.daemon.streams;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.geraniumford.core.stream.SoftwareHistory;
import org.geraniumford.core.stream.StreamBatch;

/** The rows of streams in memory, whose calls may fail. */
final class RowStore implements StreamStore {
    final Map<String, StreamBatch> batches = new HashMap<>();
    SoftwareHistory history = SoftwareHistory.empty();
    long historyVersion;
    int written;
    int reads;
    boolean failing;
    boolean behind;
    private final LongSupplier clockMillis;

    RowStore(LongSupplier clockMillis) {
        this.clockMillis = clockMillis;
    }

    /** Goes back to rows of before, whose versions are given out again. */
    void comeBackFromCopy(SoftwareHistory copiedHistory, long copiedVersion, Map<String, StreamBatch> copiedBatches) {
        history = copiedHistory;
        historyVersion = copiedVersion;
        batches.clear();
        batches.putAll(copiedBatches);
    }

    private <T> CompletableFuture<T> answer(T value) {
        return failing
                ? CompletableFuture.failedFuture(new IllegalStateException("no answer"))
                : CompletableFuture.completedFuture(value);
    }

    @Override
    public CompletableFuture<StreamRecords> read() {
        reads++;
        return answer(new StreamRecords(clockMillis.getAsLong(), historyVersion, history, batches));
    }

    @Override
    public boolean mayBeBehind() {
        return behind;
    }

    @Override
    public CompletableFuture<OptionalLong> writeHistory(long expectedVersion, SoftwareHistory next) {
        if (failing || expectedVersion != historyVersion) {
            return answer(OptionalLong.empty());
        }
        history = next;
        return answer(OptionalLong.of(++historyVersion));
    }

    @Override
    public CompletableFuture<Void> writeBatch(String key, StreamBatch batch, Collection<String> expiredKeys) {
        if (!failing) {
            written++;
            batches.put(key, batch);
            batches.keySet().removeAll(expiredKeys);
        }
        return answer(null);
    }
}
