package org.geraniumford.core.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.Verdict;

/** An in-memory store that responds immediately, with a fault at selected requests. Row versions are never reused. */
public final class FaultyStore {
    private final Map<String, Map<String, TableRow>> tables = new HashMap<>();
    private final Map<String, String> objects = new HashMap<>();
    private final List<StoreRequest> delayed = new ArrayList<>();
    private long lastVersion;

    /** A fault in one request. */
    public enum Fault {
        /** No fault. */
        NONE,
        /** The store is unavailable and refuses the request. */
        OUTAGE,
        /** The connection is lost, and the request never arrives. */
        REQUEST_LOST,
        /** The request takes effect, and its response is lost. */
        RESPONSE_LOST,
        /** The connection is lost, and the request takes effect later. */
        DELAYED;

        /** Performs a request with this fault and returns the response that the client gets. */
        StoreResponse apply(FaultyStore store, StoreRequest request) {
            return switch (this) {
                case NONE -> store.execute(request);
                case OUTAGE -> new StoreResponse.Failed(Refusal.notRun(Reason.STORE_UNAVAILABLE, "down"));
                case REQUEST_LOST -> connectionLost();
                case RESPONSE_LOST -> {
                    store.execute(request);
                    yield connectionLost();
                }
                case DELAYED -> {
                    store.delayed.add(request);
                    yield connectionLost();
                }
            };
        }

        private static StoreResponse connectionLost() {
            return new StoreResponse.Failed(Refusal.of(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, "lost"));
        }
    }

    // -- commands

    /** Performs a request with a fault and returns the response that the client gets. */
    public StoreResponse perform(StoreRequest request, Fault fault) {
        return fault.apply(this, request);
    }

    /** Executes the requests that were delayed by {@link Fault#DELAYED}, in order. */
    public void deliverDelayed() {
        List<StoreRequest> deliveries = List.copyOf(delayed);
        delayed.clear();
        deliveries.forEach(this::execute);
    }

    // -- queries

    /** Returns a row, or empty if it does not exist. */
    public Optional<TableRow> row(String table, String row) {
        return Optional.ofNullable(table(table).get(row));
    }

    /** Returns an object's content, or empty if the object does not exist. */
    public Optional<String> object(String digest) {
        return Optional.ofNullable(objects.get(digest));
    }

    // -- requests

    private StoreResponse execute(StoreRequest request) {
        if (request instanceof StoreRequest.ReadRow read) {
            return new StoreResponse.Row(row(read.table(), read.row()));
        } else if (request instanceof StoreRequest.ReadObject read) {
            return new StoreResponse.ObjectContent(object(read.digest()));
        } else if (request instanceof StoreRequest.WriteObject write) {
            objects.put(write.digest(), write.content());
            return new StoreResponse.Written();
        }
        return new StoreResponse.Transaction(transact(((StoreRequest.Transact) request).operations()));
    }

    private TransactionResult transact(List<TableOperation> operations) {
        List<TransactionResult.Conflict> conflicts = operations.stream()
                .filter(operation -> version(operation) != operation.expectedVersion())
                .map(this::conflict)
                .toList();
        return conflicts.isEmpty()
                ? new TransactionResult.Committed(
                        operations.stream().map(this::write).toList())
                : new TransactionResult.Conflicted(conflicts);
    }

    private long version(TableOperation operation) {
        return row(operation.table(), operation.row()).map(TableRow::version).orElse(0L);
    }

    private TransactionResult.Conflict conflict(TableOperation operation) {
        return new TransactionResult.Conflict(
                operation.table(),
                operation.row(),
                version(operation),
                row(operation.table(), operation.row()).map(TableRow::value));
    }

    private long write(TableOperation operation) {
        Map<String, TableRow> table = table(operation.table());
        if (operation.value().isEmpty()) {
            table.remove(operation.row());
            return 0;
        }
        lastVersion++;
        table.put(
                operation.row(),
                new TableRow(operation.row(), lastVersion, operation.value().orElseThrow()));
        return lastVersion;
    }

    private Map<String, TableRow> table(String name) {
        return tables.computeIfAbsent(name, key -> new TreeMap<>());
    }
}
