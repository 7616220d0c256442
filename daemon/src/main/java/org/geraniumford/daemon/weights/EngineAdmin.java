package org.geraniumford.daemon.weights;

import java.util.concurrent.CompletableFuture;
import org.geraniumford.core.fleet.BackendServer;

/** Asks and orders engines. Futures complete on the network thread. */
public interface EngineAdmin {
    /**
     * Asks an engine for its state.
     *
     * @param server the engine
     * @return its report
     */
    CompletableFuture<EngineReport> report(BackendServer server);

    /**
     * Orders an engine to load weights.
     *
     * @param server the engine; another one at its address refuses
     * @param order the order
     * @return true if it carries the order out or already holds the weights, false if it refused; after a failure it
     *     may carry the order out later
     */
    CompletableFuture<Boolean> order(BackendServer server, WeightsOrder order);
}
