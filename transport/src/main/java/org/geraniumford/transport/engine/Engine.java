package org.geraniumford.transport.engine;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.geraniumford.core.cache.CacheEvent;
import org.geraniumford.core.cache.CacheSnapshot;

/** A model engine. Futures fail with {@code RefusalException}s that carry a true verdict. */
public interface Engine {
    // -- commands

    /**
     * Passes a request to the engine.
     *
     * @param request the request
     * @param listener receives the answer
     * @return the running request
     */
    EngineStream run(EngineRequest request, CompletionListener listener);

    /**
     * Cancels a request, also one that the engine does not know.
     *
     * @param requestId the identifier it was passed with
     */
    void cancel(String requestId);

    /**
     * Orders the engine to load other weights. The order is sent at most once.
     *
     * @param order the order
     * @return the digest of the weights that the engine holds after it
     */
    CompletableFuture<String> order(EngineOrder order);

    /**
     * Follows the cache events.
     *
     * @param after the number of the last event already known
     * @param listener called on a network thread with each event
     * @return done when the stream ends, for whatever cause
     */
    CompletableFuture<Void> followCacheEvents(long after, Consumer<CacheEvent> listener);

    // -- queries

    /**
     * Asks for the engine's state.
     *
     * @return the state
     */
    CompletableFuture<EngineState> state();

    /**
     * Reads the whole cache.
     *
     * @return the pieces held
     */
    CompletableFuture<CacheSnapshot> cacheSnapshot();
}
