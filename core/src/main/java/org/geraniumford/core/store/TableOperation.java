package org.geraniumford.core.store;

import static java.util.Objects.requireNonNull;

import java.util.Optional;

/**
 * A write within a transaction.
 *
 * @param table the table's name
 * @param row the row's name
 * @param expectedVersion the version that the row must have; 0 if the row must not exist
 * @param value the new text; empty to delete the row
 */
public record TableOperation(String table, String row, long expectedVersion, Optional<String> value) {
    /** Checks the components. */
    public TableOperation {
        requireNonNull(table, "table is null");
        requireNonNull(row, "row is null");
        requireNonNull(value, "value is null");
    }

    // -- construction

    /**
     * Creates a write that inserts a row, which must not exist.
     *
     * @param table the table's name
     * @param row the row's name
     * @param value the text
     * @return the write
     */
    public static TableOperation insert(String table, String row, String value) {
        return new TableOperation(table, row, 0, Optional.of(value));
    }

    /**
     * Creates a write that replaces a row if its version is still the expected one.
     *
     * @param table the table's name
     * @param row the row's name
     * @param expectedVersion the version that the row must have; 0 if the row must not exist and is inserted
     * @param value the new text
     * @return the write
     */
    public static TableOperation replace(String table, String row, long expectedVersion, String value) {
        return new TableOperation(table, row, expectedVersion, Optional.of(value));
    }

    /**
     * Creates a write that deletes a row if its version is still the expected one.
     *
     * @param table the table's name
     * @param row the row's name
     * @param expectedVersion the version that the row must have
     * @return the write
     */
    public static TableOperation delete(String table, String row, long expectedVersion) {
        return new TableOperation(table, row, expectedVersion, Optional.empty());
    }
}
