package org.geraniumford.core.weights;

import static java.util.Objects.requireNonNull;

/**
 * The lease row as one entry tells others of it.
 *
 * @param version the version of the row in the store; 0 if there is nothing to tell
 * @param row the row's value
 */
public record LeaseNotice(long version, String row) {
    /** Checks the components. */
    public LeaseNotice {
        requireNonNull(row, "row is null");
    }

    // -- construction

    /**
     * Returns a notice that tells nothing.
     *
     * @return an empty notice
     */
    public static LeaseNotice empty() {
        return new LeaseNotice(0, "");
    }
}
