package org.geraniumford.core.store;

import static java.util.Objects.requireNonNull;

/**
 * A row of a table.
 *
 * @param name the row's name
 * @param version the row's version, at least 1, which the next write to the row must expect
 * @param value the text
 */
public record TableRow(String name, long version, String value) {
    /** Checks the components. */
    public TableRow {
        requireNonNull(name, "name is null");
        requireNonNull(value, "value is null");
    }
}
