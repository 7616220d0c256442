package org.geraniumford.core.weights;

import static java.util.Objects.requireNonNull;

/**
 * The row of the weights lease as the store returned it.
 *
 * @param snapshot the row; empty if it does not exist
 * @param storeVersion the newest version in the store when it was read
 */
public record LeaseRow(LeaseSnapshot snapshot, long storeVersion) {
    /** Checks the components. */
    public LeaseRow {
        requireNonNull(snapshot, "snapshot is null");
    }
}
