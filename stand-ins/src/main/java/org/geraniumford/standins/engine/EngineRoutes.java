package org.geraniumford.standins.engine;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.geraniumford.core.prefix.BlockKey;
import org.geraniumford.standins.http.CrashSimulator;
import org.geraniumford.standins.http.Json;
import org.geraniumford.standins.http.Routes;
import org.geraniumford.transport.http.HttpExchange;
import org.geraniumford.transport.http.HttpService;

/** The HTTP interface of the engine. Confined to the thread of the event loop. */
final class EngineRoutes {
    private final EventLoop loop;
    private final Engine engine;
    private final Runnable dropConnections;
    private boolean down;

    EngineRoutes(EventLoop loop, Engine engine, Runnable dropConnections) {
        this.loop = loop;
        this.engine = engine;
        this.dropConnections = dropConnections;
    }

    HttpService service() {
        Routes routes = Routes.empty()
                .with("POST", "/v1/completions", (exchange, pathSuffix) -> complete(exchange))
                .with("DELETE", "/v1/requests/", this::cancel)
                .with("GET", "/state", (exchange, pathSuffix) -> Json.respond(exchange, 200, engine.state()))
                .with("GET", "/executions", (exchange, pathSuffix) -> respondExecutions(exchange))
                .with("GET", "/cache", (exchange, pathSuffix) -> respondCachedKeys(exchange))
                .with("GET", "/events", (exchange, pathSuffix) -> streamEvents(exchange))
                .with("POST", "/orders", (exchange, pathSuffix) -> executeOrder(exchange))
                .with("GET", "/kv/", this::exportBlock)
                .with("PUT", "/kv/", this::importBlock)
                .with("POST", "/faults", (exchange, pathSuffix) -> changeFaults(exchange));
        return new CrashSimulator(routes, () -> down);
    }

    // -- completions

    private void complete(HttpExchange exchange) {
        CompletionRequest request =
                Json.readBody(exchange, CompletionRequest.Body.class).toRequest();
        HttpCompletionSink sink = new HttpCompletionSink(exchange, request, engine.incarnation());
        exchange.onClosed(() -> engine.cancel(sink));
        engine.submit(request, sink);
    }

    private void cancel(HttpExchange exchange, String requestId) {
        engine.cancel(requestId);
        exchange.respond(204, HttpExchange.JSON, "", Map.of());
    }

    private void respondExecutions(HttpExchange exchange) {
        Json.respond(exchange, 200, Map.of("executions", engine.executions()));
    }

    // -- the cache

    private void respondCachedKeys(HttpExchange exchange) {
        List<String> keys = engine.cache().keys().stream().map(BlockKey::toHex).toList();
        Json.respond(
                exchange,
                200,
                new CacheBody(engine.incarnation(), engine.events().sequence(), keys));
    }

    private void streamEvents(HttpExchange exchange) {
        List<String> after = new QueryStringDecoder(exchange.uri()).parameters().getOrDefault("after", List.of("0"));
        engine.events().subscribe(exchange, Long.parseLong(after.get(0)));
    }

    private void exportBlock(HttpExchange exchange, String hex) {
        BlockKey key = BlockKey.ofHex(hex);
        engine.exportBlock(key)
                .ifPresentOrElse(
                        block -> runAfterTransfer(() -> Json.respond(exchange, 200, PieceBody.of(key, block))),
                        () -> Json.respondError(exchange, 404, "not_cached"));
    }

    private void importBlock(HttpExchange exchange, String hex) {
        BlockKey key = BlockKey.ofHex(hex);
        CachedBlock block = Json.readBody(exchange, PieceBody.class).toBlock();
        runAfterTransfer(() -> {
            boolean imported = engine.importBlock(key, block);
            if (imported) {
                Json.respond(exchange, 200, Map.of());
            } else {
                Json.respondError(exchange, 409, "wrong_weights");
            }
        });
    }

    private void runAfterTransfer(Runnable task) {
        loop.schedule(task, Math.round(engine.timing().transferMicrosPerBlock()), TimeUnit.MICROSECONDS);
    }

    // -- orders and faults

    private void executeOrder(HttpExchange exchange) {
        EngineOrder order = Json.readBody(exchange, EngineOrder.class);
        if (!engine.accept(order)) {
            Json.respondError(exchange, 409, "old_fencing_number");
            return;
        }
        engine.perform(
                order,
                () -> Json.respond(
                        exchange,
                        200,
                        Map.of("weights_digest", engine.loadedModel().weightsDigest())));
    }

    private void changeFaults(HttpExchange exchange) {
        EngineFaults faults = Json.readBody(exchange, EngineFaults.class);
        // The response is sent first, because a crash also closes the connection of this request.
        Json.respond(exchange, 200, Map.of());
        inject(faults);
    }

    /** Applies a change of the injected faults; a crash is applied last. */
    void inject(EngineFaults faults) {
        if (faults.eventLoss() != null) {
            engine.events().setLossFraction(faults.eventLoss());
        }
        if (faults.eventDelayMillis() != null) {
            engine.events().setDelayMicros(TimeUnit.MILLISECONDS.toMicros(faults.eventDelayMillis()));
        }
        if (faults.slowdown() != null) {
            engine.setSlowdown(faults.slowdown());
        }
        if (faults.cutStreams()) {
            engine.abortStreams();
        }
        if (faults.crash()) {
            crash(faults.downMillis());
        }
    }

    private void crash(long downMillis) {
        engine.crash();
        down = downMillis > 0;
        loop.schedule(() -> down = false, downMillis, TimeUnit.MILLISECONDS);
        dropConnections.run();
    }

    /** The cached block keys as written in JSON, with the sequence number of the latest cache event. */
    private record CacheBody(long incarnation, long eventSequence, List<String> keys) {}

    /** A cached block as written in JSON. Its {@code data} is the key in hexadecimal and is not read back. */
    private record PieceBody(String customer, String weightsDigest, int tokens, String data) {
        static PieceBody of(BlockKey key, CachedBlock block) {
            return new PieceBody(block.customer(), block.weightsDigest(), block.tokens(), key.toHex());
        }

        CachedBlock toBlock() {
            if (customer == null || weightsDigest == null) {
                throw new IllegalArgumentException("customer or weights_digest is missing");
            }
            return new CachedBlock(customer, weightsDigest, tokens);
        }
    }
}
