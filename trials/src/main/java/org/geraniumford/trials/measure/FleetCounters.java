package org.geraniumford.trials.measure;

/**
 * What all engines of a deployment did.
 *
 * @param hitPieces pieces taken from their caches
 * @param computedPieces pieces computed
 * @param recomputedPieces pieces computed by an engine that had computed them before
 * @param leaks pieces used for another customer or other weights
 */
public record FleetCounters(long hitPieces, long computedPieces, long recomputedPieces, long leaks) {
    /** The counters of no engine. */
    public static final FleetCounters ZERO = new FleetCounters(0, 0, 0, 0);

    // -- combinators

    /**
     * Adds other engines' counters.
     *
     * @param other the other counters
     * @return the sums
     */
    public FleetCounters plus(FleetCounters other) {
        return new FleetCounters(
                hitPieces + other.hitPieces,
                computedPieces + other.computedPieces,
                recomputedPieces + other.recomputedPieces,
                leaks + other.leaks);
    }

    /**
     * Takes away what was counted earlier.
     *
     * @param earlier the counters at an earlier time
     * @return the differences
     */
    public FleetCounters minus(FleetCounters earlier) {
        return new FleetCounters(
                hitPieces - earlier.hitPieces,
                computedPieces - earlier.computedPieces,
                recomputedPieces - earlier.recomputedPieces,
                leaks - earlier.leaks);
    }

    // -- queries

    /**
     * Returns the part of the computed pieces that the best routing would not have computed.
     *
     * @param boundPieces the least number of pieces to compute
     * @return a fraction of 1
     */
    public double wastedFraction(long boundPieces) {
        return computedPieces == 0 ? 0 : Math.max(0, computedPieces - boundPieces) / (double) computedPieces;
    }
}
