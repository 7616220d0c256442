package org.geraniumford.core.weights;

import static java.util.Objects.requireNonNull;

/**
 * An order that a holder of the lease recorded before giving it.
 *
 * @param server the backend server to be ordered
 * @param model the model whose weights it must load
 * @param version the version to load
 * @param holder the host that gives the order
 * @param recordedMillis when it was recorded, on the store's clock
 * @param done whether the server was seen to hold the version
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
     * Returns this intent, carried out.
     *
     * @return an intent that is done
     */
    public OrderIntent asDone() {
        return new OrderIntent(server, model, version, holder, recordedMillis, true);
    }
}
