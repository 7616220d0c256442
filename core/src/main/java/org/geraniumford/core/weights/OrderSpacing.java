package org.geraniumford.core.weights;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * What keeps the orders of two terms to one server apart.
 *
 * @param arrival the time after an order was first seen at which its bytes have reached the server's host, or never
 *     will
 * @param handover the time that must pass between the orders of two terms, with the drift between two clocks
 */
public record OrderSpacing(Duration arrival, Duration handover) {
    /** Checks the components. */
    public OrderSpacing {
        requireNonNull(arrival, "arrival is null");
        requireNonNull(handover, "handover is null");
    }

    // -- queries

    /**
     * Returns the time after which an order that was seen concerns no other term, at a server that reads what arrives.
     *
     * @return the sum of the components
     */
    public Duration total() {
        return arrival.plus(handover);
    }
}
