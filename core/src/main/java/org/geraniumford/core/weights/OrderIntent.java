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
 * @param progress how far the order has got
 */
public record OrderIntent(
        OrderKey key, String model, int version, String holder, long recordedMillis, OrderProgress progress) {
    /** Checks the components. */
    public OrderIntent {
        requireNonNull(key, "key is null");
        requireNonNull(model, "model is null");
        requireNonNull(holder, "holder is null");
        requireNonNull(progress, "progress is null");
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
        return new OrderIntent(key, model, version, holder, nowMillis, progress);
    }

    /**
     * Returns a copy of this intent whose order has got further.
     *
     * @param newProgress how far the order has got
     * @return the updated intent, of the same order
     */
    public OrderIntent with(OrderProgress newProgress) {
        return new OrderIntent(key, model, version, holder, recordedMillis, newProgress);
    }
}
