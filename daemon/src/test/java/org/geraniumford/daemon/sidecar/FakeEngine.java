package org.geraniumford.daemon.sidecar;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.geraniumford.core.cache.CacheEvent;
import org.geraniumford.core.cache.CacheSnapshot;
import org.geraniumford.transport.engine.CompletionListener;
import org.geraniumford.transport.engine.Engine;
import org.geraniumford.transport.engine.EngineOrder;
import org.geraniumford.transport.engine.EngineRequest;
import org.geraniumford.transport.engine.EngineState;
import org.geraniumford.transport.engine.EngineStream;

/** An engine whose events a test sends, on the test's thread. */
final class FakeEngine implements Engine {
    final Map<String, Run> runs = new LinkedHashMap<>();
    final List<String> cancelled = new ArrayList<>();

    @Override
    public EngineStream run(EngineRequest request, CompletionListener listener) {
        Run run = new Run(request, listener);
        runs.put(request.requestId(), run);
        return run;
    }

    @Override
    public void cancel(String requestId) {
        cancelled.add(requestId);
    }

    @Override
    public CompletableFuture<String> order(EngineOrder order) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Void> followCacheEvents(long after, Consumer<CacheEvent> listener) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<EngineState> state() {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<CacheSnapshot> cacheSnapshot() {
        throw new UnsupportedOperationException();
    }

    /** A request that was sent to the engine. */
    static final class Run implements EngineStream {
        final EngineRequest request;
        final CompletionListener listener;
        boolean paused;
        boolean aborted;

        private Run(EngineRequest request, CompletionListener listener) {
            this.request = request;
            this.listener = listener;
        }

        @Override
        public void pause() {
            paused = true;
        }

        @Override
        public void resume() {
            paused = false;
        }

        @Override
        public void abort() {
            aborted = true;
        }
    }
}
