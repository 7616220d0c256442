package org.geraniumford.core.store;

import java.util.List;
import java.util.Optional;

/** What became of a transaction whose answer arrived. */
public sealed interface TransactionResult {
    /**
     * All writes took effect.
     *
     * @param versions the new version of each row, in the order of the writes; 0 for a deleted one
     */
    record Committed(List<Long> versions) implements TransactionResult {
        /** Copies the list. */
        public Committed {
            versions = List.copyOf(versions);
        }
    }

    /**
     * Nothing changed, because some rows were not as expected.
     *
     * @param conflicts those rows
     */
    record Conflicted(List<Conflict> conflicts) implements TransactionResult {
        /** Copies the list. */
        public Conflicted {
            conflicts = List.copyOf(conflicts);
        }

        /**
         * Finds the conflict of one row.
         *
         * @param table the table's name
         * @param row the row's name
         * @return the conflict, or empty if that row was as expected
         */
        public Optional<Conflict> conflict(String table, String row) {
            return conflicts.stream()
                    .filter(conflict ->
                            conflict.table().equals(table) && conflict.row().equals(row))
                    .findFirst();
        }
    }

    /**
     * A row that was not as expected.
     *
     * @param table the table's name
     * @param row the row's name
     * @param version the version that is there; 0 if the row does not exist
     * @param value the text that is there; empty if the row does not exist
     */
    record Conflict(String table, String row, long version, Optional<String> value) {}
}
