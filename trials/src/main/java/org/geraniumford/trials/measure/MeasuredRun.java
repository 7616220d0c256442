package org.geraniumford.trials.measure;

import java.util.Map;
import org.geraniumford.daemon.load.LoadResult;

/**
 * The results of one run.
 *
 * @param result the results at the callers
 * @param fleet the sums of the counters of the engines that are running at the end, minus the sums over all engines
 *     after the warm-up
 * @param retries the number of the entries' retries by reason, including those of the warm-up; an entry that restarted
 *     counts from its restart
 */
public record MeasuredRun(LoadResult result, FleetCounters fleet, Map<String, Long> retries) {
    /** Copies the map. */
    public MeasuredRun {
        retries = Map.copyOf(retries);
    }

    /**
     * Returns the number of computed blocks above the result's offline bound, as a fraction of all computed blocks.
     *
     * @return a fraction from 0 to 1; 0 if the engines computed no blocks, or fewer than the bound
     */
    public double wastedFraction() {
        return fleet.wastedFraction(result.bound().computedPieces());
    }

    /**
     * Returns the fraction of the requests whose first token arrived within the scenario's deadline and whose response
     * is whole.
     *
     * @return a fraction from 0 to 1; 0 if there were no requests
     */
    public double goodFraction() {
        return result.requests() == 0 ? 0 : (double) result.good() / result.requests();
    }
}
