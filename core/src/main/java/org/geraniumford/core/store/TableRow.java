package org.geraniumford.core.store;

import static java.util.Objects.requireNonNull;

/**
 * A row as read.
 *
 * @param name the row's name
 * @param version the version to expect when replacing it, at least 1
 * @param value the text
 */
public record TableRow(String name, long version, String value) {
    /** Checks the components. */
    public TableRow {
        requireNonNull(name, "row is null");
        requireNonNull(value, "value is null");
    }
}
