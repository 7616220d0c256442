package org.geraniumford.daemon.weights;

import java.util.Map;

/**
 * What an engine says of itself.
 *
 * @param weights the version of each model's weights
 * @param busy whether it carries out an order
 * @param sequence how many orders it has accepted since its start
 */
public record EngineReport(Map<String, Integer> weights, boolean busy, long sequence) {
    /** Copies the map. */
    public EngineReport {
        weights = Map.copyOf(weights);
    }
}
