package org.geraniumford.daemon.weights;

import static java.util.Objects.requireNonNull;

/**
 * An order to load weights once the requests that are running have ended.
 *
 * @param model the name of the model
 * @param version the version to load
 * @param holder the host that issues the order
 * @param fencingToken the fencing token of the holder's lease
 * @param expectedSequence how many orders the engine must have accepted before, so that the engine rejects a late order
 */
public record WeightsOrder(String model, int version, String holder, long fencingToken, long expectedSequence) {
    /** Checks the components. */
    public WeightsOrder {
        requireNonNull(model, "model is null");
        requireNonNull(holder, "holder is null");
    }
}
