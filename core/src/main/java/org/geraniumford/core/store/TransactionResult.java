package org.geraniumford.core.store;

import java.util.List;
import java.util.Optional;

/** The result of a transaction to which the store responded. */
public sealed interface TransactionResult {
    /**
     * All writes took effect.
     *
     * @param versions the new version of each row, in the order of the writes; 0 for a deleted row
     */
    record Committed(List<Long> versions) implements TransactionResult {
        /** Copies the list. */
        public Committed {
            versions = List.copyOf(versions);
        }
    }

    /**
     * No write took effect, because some rows did not have the expected version.
     *
     * @param conflicts those rows, with their present versions and values
     */
    record Conflicted(List<Conflict> conflicts) implements TransactionResult {
        /** Copies the list. */
        public Conflicted {
            conflicts = List.copyOf(conflicts);
        }

        /**
         * Returns the conflict of a row.
         *
         * @param table the table's name
         * @param row the row's name
         * @return the conflict, or empty if the row had the expected version
         */
        public Optional<Conflict> conflict(String table, String row) {
            return conflicts.stream()
                    .filter(conflict ->
                            conflict.table().equals(table) && conflict.row().equals(row))
                    .findFirst();
        }
    }

    /**
     * A row that did not have the expected version.
     *
     * @param table the table's name
     * @param row the row's name
     * @param version the row's present version; 0 if the row does not exist
     * @param value the row's present text; empty if the row does not exist
     */
    record Conflict(String table, String row, long version, Optional<String> value) {}
}
