package org.geraniumford.standins.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

/** Tables with transactions that compare versions. A version is never used again, also after a deletion. */
final class Tables {
    private final Map<String, NavigableMap<String, Row>> tables = new HashMap<>();
    private long lastVersion;

    // -- queries

    Optional<Row> find(String table, String row) {
        return Optional.ofNullable(table(table).get(row));
    }

    /** Returns the rows after one, in order. */
    List<Row> rows(String table, String after, int limit) {
        return table(table).tailMap(after, false).values().stream().limit(limit).toList();
    }

    // -- commands

    /** Carries out all operations, or none. */
    CommitResult commit(List<Operation> operations) {
        List<Conflict> conflicts = operations.stream()
                .filter(operation -> operation.expect() != version(operation))
                .map(this::conflict)
                .toList();
        return conflicts.isEmpty()
                ? new CommitResult(apply(operations), List.of())
                : new CommitResult(List.of(), conflicts);
    }

    private List<Long> apply(List<Operation> operations) {
        lastVersion++;
        List<Long> versions = new ArrayList<>();
        for (Operation operation : operations) {
            versions.add(apply(operation));
        }
        return versions;
    }

    private long apply(Operation operation) {
        NavigableMap<String, Row> rows = table(operation.table());
        if (operation.value() == null) {
            rows.remove(operation.row());
            return 0;
        }
        rows.put(operation.row(), new Row(operation.row(), lastVersion, operation.value()));
        return lastVersion;
    }

    private long version(Operation operation) {
        return find(operation.table(), operation.row()).map(Row::version).orElse(0L);
    }

    private Conflict conflict(Operation operation) {
        Optional<Row> present = find(operation.table(), operation.row());
        return new Conflict(
                operation.table(),
                operation.row(),
                present.map(Row::version).orElse(0L),
                present.map(Row::value).orElse(null));
    }

    private NavigableMap<String, Row> table(String name) {
        return tables.computeIfAbsent(name, missing -> new TreeMap<>());
    }

    /** A row as it is answered. */
    record Row(String row, long version, String value) {}

    /** One part of a transaction. */
    record Operation(String table, String row, long expect, String value) {
        Operation {
            if (table == null || row == null) {
                throw new IllegalArgumentException("table or row is missing");
            }
        }
    }

    /** A row that was not as expected. */
    record Conflict(String table, String row, long version, String value) {}

    /** What became of a transaction: versions if it was carried out, otherwise conflicts. */
    record CommitResult(List<Long> versions, List<Conflict> conflicts) {
        CommitResult {
            Objects.requireNonNull(versions, "versions is null");
            Objects.requireNonNull(conflicts, "conflicts is null");
        }
    }
}
