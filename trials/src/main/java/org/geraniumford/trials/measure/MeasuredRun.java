package org.geraniumford.trials.measure;

import java.util.Map;
import org.geraniumford.daemon.load.LoadResult;

/**
 * What one run gave.
 *
 * @param result what the callers saw
 * @param fleet what the engines did
 * @param retries the router's retries by reason, those of the warm-up included
 */
public record MeasuredRun(LoadResult result, FleetCounters fleet, Map<String, Long> retries) {
    /** Copies the map. */
    public MeasuredRun {
        retries = Map.copyOf(retries);
    }

    /**
     * Returns the part of the computed pieces that the best routing would not have computed.
     *
     * @return a fraction of 1
     */
    public double wastedFraction() {
        return fleet.wastedFraction(result.bound().computedPieces());
    }

    /**
     * Returns the part of the requests whose first token came in time and whose answer is whole.
     *
     * @return a fraction of 1
     */
    public double goodFraction() {
        return result.requests() == 0 ? 0 : (double) result.good() / result.requests();
    }
}
