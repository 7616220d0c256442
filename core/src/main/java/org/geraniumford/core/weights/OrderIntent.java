package org.geraniumford.core.weights;

import static java.util.Objects.requireNonNull;

/**
 * An order that a holder of the lease recorded before issuing it.
 *
 * @param key identifies the order
 * @param model the name of the model whose weights the server must load
 * @param version the version to load
 * @param holder the host that issues the order
 * @param recordedMillis when the intent was recorded or last renewed, in milliseconds on the store's clock as the
 *     holder read it; an estimate that may be seconds behind, so nothing that must hold may rest on it
 * @param done whether the server was observed to have loaded the version
 */
public record OrderIntent(OrderKey key, String model, int version, String holder, long recordedMillis, boolean done) {
    /** Checks the components. */
    public OrderIntent {
        requireNonNull(key, "key is null");
        requireNonNull(model, "model is null");
        requireNonNull(holder, "holder is null");
    }

    // -- queries

    /**
     * Returns the server that receives the order.
     *
     * @return the id of the backend server
     */
    public String server() {
        return key.server();
    }

    // -- combinators

    /**
     * Returns a copy of this intent that is recorded again, because its order is not completed yet.
     *
     * @param nowMillis the time in milliseconds on the store's clock
     * @return the renewed intent, of the same order
     */
    public OrderIntent renewedAt(long nowMillis) {
        return new OrderIntent(key, model, version, holder, nowMillis, done);
    }

    /**
     * Returns a copy of this intent that is marked as done.
     *
     * @return the completed intent
     */
    public OrderIntent asDone() {
        return new OrderIntent(key, model, version, holder, recordedMillis, true);
    }
}
