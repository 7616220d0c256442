package org.geraniumford.core.weights;

import static java.util.Objects.requireNonNull;

/**
 * The row of the weights lease at one version, as entries read it from the store and announce it to each other.
 *
 * @param version the version of the row in the store; 0 if the snapshot is empty
 * @param encodedLease the value of the row; an empty string if the snapshot is empty
 */
public record LeaseSnapshot(long version, String encodedLease) {
    /** Checks the components. */
    public LeaseSnapshot {
        requireNonNull(encodedLease, "encodedLease is null");
    }

    // -- construction

    /**
     * Returns the snapshot that contains no lease.
     *
     * @return an empty snapshot
     */
    public static LeaseSnapshot empty() {
        return new LeaseSnapshot(0, "");
    }

    // -- queries

    /**
     * Returns whether this snapshot contains no row.
     *
     * @return true if the row did not exist when it was read
     */
    public boolean isEmpty() {
        return version == 0;
    }
}
