package org.geraniumford.standins.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Tables with transactions that compare row versions. All rows that a transaction writes get the same new version. No
 * version is ever reused, not even after a deletion.
 */
final class Tables {
    private final Map<String, NavigableMap<String, Row>> tables = new HashMap<>();
    private long lastVersion;

    // -- queries

    Optional<Row> find(String table, String row) {
        return Optional.ofNullable(table(table).get(row));
    }

    /** Returns the first {@code limit} rows whose names come after {@code after}, ordered by name. */
    List<Row> rows(String table, String after, int limit) {
        return table(table).tailMap(after, false).values().stream().limit(limit).toList();
    }

    // -- commands

    /** Executes all operations, or none if a row has another version than expected. */
    CommitResult commit(List<Operation> operations) {
        List<Conflict> conflicts = operations.stream()
                .filter(operation -> operation.expect() != currentVersion(operation))
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

    /** Executes an operation and returns the new version of its row, or 0 for a deletion. */
    private long apply(Operation operation) {
        NavigableMap<String, Row> rows = table(operation.table());
        if (operation.value() == null) {
            rows.remove(operation.row());
            return 0;
        }
        rows.put(operation.row(), new Row(operation.row(), lastVersion, operation.value()));
        return lastVersion;
    }

    private long currentVersion(Operation operation) {
        return find(operation.table(), operation.row()).map(Row::version).orElse(0L);
    }

    private Conflict conflict(Operation operation) {
        Optional<Row> current = find(operation.table(), operation.row());
        return new Conflict(
                operation.table(),
                operation.row(),
                current.map(Row::version).orElse(0L),
                current.map(Row::value).orElse(null));
    }

    private NavigableMap<String, Row> table(String name) {
        return tables.computeIfAbsent(name, absent -> new TreeMap<>());
    }

    /** A row as written in JSON; {@code row} is its name. */
    record Row(String row, long version, String value) {}

    /**
     * An operation of a transaction: a write, or a deletion if the value is null. {@code expect} is the version that
     * the row must have, or 0 if it must not exist.
     */
    record Operation(String table, String row, long expect, String value) {
        Operation {
            if (table == null || row == null) {
                throw new IllegalArgumentException("table or row is missing");
            }
        }
    }

    /** A row whose version was not the expected one. Its current version and value are 0 and null if it is missing. */
    record Conflict(String table, String row, long version, String value) {}

    /** The result of a transaction: the new versions if it was committed, 0 for a deletion; otherwise the conflicts. */
    record CommitResult(List<Long> versions, List<Conflict> conflicts) {
        CommitResult {
            Objects.requireNonNull(versions, "versions is null");
            Objects.requireNonNull(conflicts, "conflicts is null");
        }
    }
}
