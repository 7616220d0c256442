package org.geraniumford.core.weights;

import static java.util.Objects.requireNonNull;

/**
 * The lease row as one entry tells others of it.
 *
 * @param version the version of the row in the store; 0 if there is nothing to tell
 * @param encodedLease the row's value
 */
public record LeaseSnapshot(long version, String encodedLease) {
    /** Checks the components. */
    public LeaseSnapshot {
        requireNonNull(encodedLease, "row is null");
    }

    // -- construction

    /**
     * Returns a notice that tells nothing.
     *
     * @return an empty notice
     */
    public static LeaseSnapshot empty() {
        return new LeaseSnapshot(0, "");
    }
}
