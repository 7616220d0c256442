package org.geraniumford.core.weights;

import static java.util.Objects.requireNonNull;

/**
 * An order that a holder of the lease recorded before issuing it.
 *
 * @param server the id of the backend server that receives the order
 * @param model the name of the model whose weights the server must load
 * @param version the version to load
 * @param holder the host that issues the order
 * @param recordedMillis when the intent was recorded, in milliseconds on the store's clock
 * @param done whether the server was observed to have loaded the version
 */
public record OrderIntent(String server, String model, int version, String holder, long recordedMillis, boolean done) {
    /** Checks the components. */
    public OrderIntent {
        requireNonNull(server, "server is null");
        requireNonNull(model, "model is null");
        requireNonNull(holder, "holder is null");
    }

    // -- combinators

    /**
     * Returns a copy of this intent that is recorded again, because its order is not completed yet.
     *
     * @param nowMillis the time in milliseconds on the store's clock
     * @return the renewed intent
     */
    public OrderIntent renewedAt(long nowMillis) {
        return new OrderIntent(server, model, version, holder, nowMillis, done);
    }

    /**
     * Returns a copy of this intent that is marked as done.
     *
     * @return the completed intent
     */
    public OrderIntent asDone() {
        return new OrderIntent(server, model, version, holder, recordedMillis, true);
    }
}
