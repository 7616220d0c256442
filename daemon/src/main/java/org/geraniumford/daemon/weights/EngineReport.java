package org.geraniumford.daemon.weights;

import java.util.Map;

/**
 * The state of an engine as the engine reports it.
 *
 * @param weights the loaded version of the weights by the name of the model
 * @param busy whether the engine is carrying out an order
 * @param sequence how many orders the engine has accepted since its start
 */
public record EngineReport(Map<String, Integer> weights, boolean busy, long sequence) {
    /** Copies the map. */
    public EngineReport {
        weights = Map.copyOf(weights);
    }
}
