package org.geraniumford.transport.engine;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.geraniumford.core.cache.CacheEvent;
import org.geraniumford.core.cache.CacheSnapshot;

/**
 * A model engine. Unless stated otherwise, futures fail with a {@link org.geraniumford.core.verdict.RefusalException}
 * whose verdict states whether the request may have had an effect.
 */
public interface Engine {
    // -- commands

    /**
     * Sends a completion request to the engine.
     *
     * @param request the request
     * @param listener receives the response
     * @return the running completion
     */
    EngineStream run(EngineRequest request, CompletionListener listener);

    /**
     * Cancels a request. Has no effect if the engine has no such request. Does not wait for the engine, and reports no
     * failure.
     *
     * @param requestId the {@linkplain EngineRequest#requestId identifier} that the request was sent with
     */
    void cancel(String requestId);

    /**
     * Orders the engine to load other weights. The order is sent at most once, without retries.
     *
     * @param order the order
     * @return the digest of the weights that the engine has loaded after the order
     */
    CompletableFuture<String> order(EngineOrder order);

    /**
     * Follows the engine's cache events.
     *
     * @param after the sequence number of the last event already received
     * @param listener called on a network thread for each event
     * @return completes when the stream ends for any reason, normally or with an exception of any type
     */
    CompletableFuture<Void> followCacheEvents(long after, Consumer<CacheEvent> listener);

    // -- queries

    /**
     * Requests the engine's state.
     *
     * @return the state, whose load figures may be out of date
     */
    CompletableFuture<EngineState> state();

    /**
     * Requests a snapshot of the engine's whole prefix cache.
     *
     * @return the keys of all cached blocks
     */
    CompletableFuture<CacheSnapshot> cacheSnapshot();
}
