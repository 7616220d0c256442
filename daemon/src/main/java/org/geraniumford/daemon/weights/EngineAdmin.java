package org.geraniumford.daemon.weights;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.geraniumford.core.fleet.BackendServer;

/** Requests reports from engines and sends them orders. Futures complete on the network thread. */
public interface EngineAdmin {
    /**
     * The longest time for which an order may be on its way. An order that was not answered by then is withdrawn, so
     * that what the engine has not received of it never arrives.
     */
    Duration DELIVERY_TIME = Duration.ofMillis(800);

    /**
     * Requests the state of an engine.
     *
     * @param server the engine
     * @return the engine's report; completes exceptionally if none was received
     */
    CompletableFuture<EngineReport> report(BackendServer server);

    /**
     * Orders an engine to load weights.
     *
     * @param server the engine; a different engine at the same address rejects the order
     * @param order the order
     * @param permission asked when the bytes of the order are about to be written; nothing is sent if it returns false
     * @return true if the engine carries out the order or has already loaded the weights, false if it rejects the
     *     order; after a failure the engine may still carry out the order later
     */
    CompletableFuture<Boolean> order(BackendServer server, WeightsOrder order, BooleanSupplier permission);
}
