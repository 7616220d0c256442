package org.geraniumford.daemon.weights;

import java.time.Duration;
import org.geraniumford.core.weights.OrderIntent;

/** Receives what becomes of an order. */
interface OrderListener {
    /**
     * Called once the engine has loaded the weights.
     *
     * @param intent the intent of the order, as completed
     * @param elapsed the time since the write of the intent began
     */
    void loaded(OrderIntent intent, Duration elapsed);

    /**
     * Called when the engine has accepted or rejected the order.
     *
     * @param server the id of the engine
     */
    void answered(String server);

    /**
     * Called when the engine has answered neither the order nor the request for a report before it.
     *
     * @param server the id of the engine
     */
    void unanswered(String server);
}
