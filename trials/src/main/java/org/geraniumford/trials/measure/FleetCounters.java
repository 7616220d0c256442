package org.geraniumford.trials.measure;

/**
 * The counters of one engine, or their sums over several engines.
 *
 * @param hitPieces the number of blocks found in the prefix caches
 * @param computedPieces the number of blocks computed
 * @param recomputedPieces the number of blocks computed by an engine that had computed them before
 * @param leaks the number of cached blocks that were used for a customer or weights other than those they were computed
 *     for
 */
public record FleetCounters(long hitPieces, long computedPieces, long recomputedPieces, long leaks) {
    /** Counters that are all 0. */
    public static final FleetCounters ZERO = new FleetCounters(0, 0, 0, 0);

    // -- combinators

    /**
     * Returns the sums of these counters and others.
     *
     * @param other the counters of other engines
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
     * Returns the differences between these counters and earlier ones.
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
     * Returns the number of computed blocks above a bound, as a fraction of all computed blocks.
     *
     * @param boundBlocks the number of blocks that one cache, as large as those of the whole fleet, computes for the
     *     same requests
     * @return a fraction from 0 to 1; 0 if the engines computed no blocks, or fewer than the bound
     */
    public double wastedFraction(long boundBlocks) {
        return computedPieces == 0 ? 0 : Math.max(0, computedPieces - boundBlocks) / (double) computedPieces;
    }
}
