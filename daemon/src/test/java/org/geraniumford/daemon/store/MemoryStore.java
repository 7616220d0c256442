package org.geraniumford.daemon.store;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.geraniumford.core.store.Store;
import org.geraniumford.core.store.TableOperation;
import org.geraniumford.core.store.TableRow;
import org.geraniumford.core.store.TransactionResult;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;

/** A store in memory that can be made unavailable. Thread-safe. */
public final class MemoryStore implements Store {
    private final Map<String, NavigableMap<String, TableRow>> tables = new HashMap<>();
    private final Map<String, String> objects = new HashMap<>();
    private boolean down;
    private long lastVersion;
    private int transactions;

    /**
     * Makes the store unavailable, so that every operation fails with {@link Reason#STORE_UNAVAILABLE}, or available
     * again.
     */
    public synchronized void setDown(boolean isDown) {
        down = isDown;
    }

    /** Returns the number of transactions received while available, including those that conflicted. */
    public synchronized int transactions() {
        return transactions;
    }

    @Override
    public CompletableFuture<Optional<TableRow>> row(String table, String row) {
        return respond(() -> find(table, row));
    }

    @Override
    public CompletableFuture<List<TableRow>> rows(String table, String after, int limit) {
        return respond(() -> tables.getOrDefault(table, new TreeMap<>()).tailMap(after, false).values().stream()
                .limit(limit)
                .toList());
    }

    @Override
    public CompletableFuture<Optional<String>> object(String digest) {
        return respond(() -> Optional.ofNullable(objects.get(digest)));
    }

    @Override
    public CompletableFuture<Void> putObject(String digest, String content) {
        return respond(() -> {
            objects.put(digest, content);
            return null;
        });
    }

    @Override
    public CompletableFuture<TransactionResult> transact(List<TableOperation> operations) {
        return respond(() -> {
            transactions++;
            List<TransactionResult.Conflict> conflicts = operations.stream()
                    .filter(operation -> version(operation) != operation.expectedVersion())
                    .map(this::conflict)
                    .toList();
            return conflicts.isEmpty()
                    ? new TransactionResult.Committed(
                            operations.stream().map(this::write).toList())
                    : new TransactionResult.Conflicted(conflicts);
        });
    }

    private synchronized <T> CompletableFuture<T> respond(Supplier<T> operation) {
        return down
                ? CompletableFuture.failedFuture(
                        Refusal.notRun(Reason.STORE_UNAVAILABLE, "down").toException())
                : CompletableFuture.completedFuture(operation.get());
    }

    private Optional<TableRow> find(String table, String row) {
        return Optional.ofNullable(tables.getOrDefault(table, new TreeMap<>()).get(row));
    }

    private long version(TableOperation operation) {
        return find(operation.table(), operation.row()).map(TableRow::version).orElse(0L);
    }

    private TransactionResult.Conflict conflict(TableOperation operation) {
        return new TransactionResult.Conflict(
                operation.table(),
                operation.row(),
                version(operation),
                find(operation.table(), operation.row()).map(TableRow::value));
    }

    private long write(TableOperation operation) {
        lastVersion++;
        Map<String, TableRow> table = tables.computeIfAbsent(operation.table(), name -> new TreeMap<>());
        operation
                .value()
                .ifPresentOrElse(
                        value -> table.put(operation.row(), new TableRow(operation.row(), lastVersion, value)),
                        () -> table.remove(operation.row()));
        return operation.value().isPresent() ? lastVersion : 0;
    }
}
