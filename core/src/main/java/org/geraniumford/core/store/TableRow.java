package org.geraniumford.core.store;

import static java.util.Objects.requireNonNull;

/**
 * A row as read.
 *
 * @param row the row's name
 * @param version the version to expect when replacing it, at least 1
 * @param value the text
 */
public record TableRow(String row, long version, String value) {
    /** Checks the components. */
    public TableRow {
        requireNonNull(row, "row is null");
        requireNonNull(value, "value is null");
    }
}
