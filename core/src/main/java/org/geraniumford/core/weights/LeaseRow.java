package org.geraniumford.core.weights;

import static java.util.Objects.requireNonNull;

/**
 * The row of the weights lease as the store returned it.
 *
 * @param snapshot the row; empty if it does not exist
 * @param storeVersion the newest version in the store when it was read
 * @param writtenVersion the version of the last write of the row by this program; 0 if it is not known
 */
public record LeaseRow(LeaseSnapshot snapshot, long storeVersion, long writtenVersion) {
    /** Checks the components. */
    public LeaseRow {
        requireNonNull(snapshot, "snapshot is null");
    }

    // -- queries

    /**
     * Returns whether somebody else has written the row since, for example an operator who has put an earlier value
     * back.
     *
     * @return false if that is not known, or if there is no row
     */
    public boolean isChangedByOthers() {
        return writtenVersion > 0 && !snapshot.isEmpty() && snapshot.version() != writtenVersion;
    }
}
