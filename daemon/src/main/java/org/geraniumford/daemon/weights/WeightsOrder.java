package org.geraniumford.daemon.weights;

import static java.util.Objects.requireNonNull;

/**
 * An order to load weights once the requests that run have ended.
 *
 * @param model the model
 * @param version the version to load
 * @param holder the host that gives the order
 * @param fencingToken the fencing token of its lease
 * @param expectedSequence how many orders the engine must have accepted, so that a late order is refused
 */
public record WeightsOrder(String model, int version, String holder, long fencingToken, long expectedSequence) {
    /** Checks the components. */
    public WeightsOrder {
        requireNonNull(model, "model is null");
        requireNonNull(holder, "holder is null");
    }
}
