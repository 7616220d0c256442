package org.geraniumford.core.weights;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * How long servers that are ordered now are estimated to take to drain and load.
 *
 * @param atLeast the average if each pending order ended now
 * @param expected the average if each order that is overdue takes as long again until it ends, and the usual deviation
 */
public record LoadEstimate(Duration atLeast, Duration expected) {
    /** Checks the components. */
    public LoadEstimate {
        requireNonNull(atLeast, "atLeast is null");
        requireNonNull(expected, "expected is null");
    }

    // -- construction

    /**
     * Returns an estimate that is certain.
     *
     * @param loadTime the load time
     * @return an estimate with both components equal
     */
    public static LoadEstimate of(Duration loadTime) {
        return new LoadEstimate(loadTime, loadTime);
    }
}
