package org.geraniumford.standins.engine;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.geraniumford.core.prefix.PieceKey;
import org.geraniumford.standins.http.DownSwitch;
import org.geraniumford.standins.http.Json;
import org.geraniumford.standins.http.Routes;
import org.geraniumford.transport.http.HttpExchange;
import org.geraniumford.transport.http.HttpService;

/** The engine's HTTP interface. Confined to one thread. */
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
                .with("POST", "/v1/completions", (exchange, rest) -> complete(exchange))
                .with("DELETE", "/v1/requests/", this::cancel)
                .with("GET", "/state", (exchange, rest) -> Json.respond(exchange, 200, engine.state()))
                .with("GET", "/executions", (exchange, rest) -> executions(exchange))
                .with("GET", "/cache", (exchange, rest) -> cache(exchange))
                .with("GET", "/events", (exchange, rest) -> events(exchange))
                .with("POST", "/orders", (exchange, rest) -> order(exchange))
                .with("GET", "/kv/", this::exportPiece)
                .with("PUT", "/kv/", this::importPiece)
                .with("POST", "/faults", (exchange, rest) -> faults(exchange));
        return new DownSwitch(routes, () -> down);
    }

    // -- completions

    private void complete(HttpExchange exchange) {
        CompletionRequest request =
                Json.body(exchange, CompletionRequest.Body.class).toRequest();
        HttpCompletionSink sink = new HttpCompletionSink(exchange, request, engine.incarnation());
        exchange.onClosed(() -> engine.cancel(sink));
        engine.submit(request, sink);
    }

    private void cancel(HttpExchange exchange, String requestId) {
        engine.cancel(requestId);
        exchange.respond(204, HttpExchange.JSON, "", Map.of());
    }

    private void executions(HttpExchange exchange) {
        Json.respond(exchange, 200, Map.of("executions", engine.executions()));
    }

    // -- the cache

    private void cache(HttpExchange exchange) {
        List<String> keys = engine.cache().keys().stream().map(PieceKey::toHex).toList();
        Json.respond(
                exchange,
                200,
                new CacheBody(engine.incarnation(), engine.events().sequence(), keys));
    }

    private void events(HttpExchange exchange) {
        List<String> after = new QueryStringDecoder(exchange.uri()).parameters().getOrDefault("after", List.of("0"));
        engine.events().subscribe(exchange, Long.parseLong(after.get(0)));
    }

    private void exportPiece(HttpExchange exchange, String hex) {
        PieceKey key = PieceKey.ofHex(hex);
        engine.export(key)
                .ifPresentOrElse(
                        piece -> afterTransfer(() -> Json.respond(exchange, 200, PieceBody.of(key, piece))),
                        () -> Json.refuse(exchange, 404, "not_cached"));
    }

    private void importPiece(HttpExchange exchange, String hex) {
        PieceKey key = PieceKey.ofHex(hex);
        CachedPiece piece = Json.body(exchange, PieceBody.class).toPiece();
        afterTransfer(() -> {
            boolean taken = engine.importPiece(key, piece);
            if (taken) {
                Json.respond(exchange, 200, Map.of());
            } else {
                Json.refuse(exchange, 409, "wrong_weights");
            }
        });
    }

    private void afterTransfer(Runnable work) {
        loop.schedule(work, Math.round(engine.timing().transferPerPiece()), TimeUnit.MICROSECONDS);
    }

    // -- orders and faults

    private void order(HttpExchange exchange) {
        EngineOrder order = Json.body(exchange, EngineOrder.class);
        if (!engine.accept(order)) {
            Json.refuse(exchange, 409, "old_fencing_number");
            return;
        }
        engine.perform(
                order,
                () -> Json.respond(
                        exchange, 200, Map.of("weights_digest", engine.holding().weightsDigest())));
    }

    private void faults(HttpExchange exchange) {
        EngineFaults faults = Json.body(exchange, EngineFaults.class);
        Json.respond(exchange, 200, Map.of());
        inject(faults);
    }

    void inject(EngineFaults faults) {
        if (faults.eventLoss() != null) {
            engine.events().loss(faults.eventLoss());
        }
        if (faults.eventDelayMillis() != null) {
            engine.events().delay(TimeUnit.MILLISECONDS.toMicros(faults.eventDelayMillis()));
        }
        if (faults.slowdown() != null) {
            engine.slowdown(faults.slowdown());
        }
        if (faults.cutStreams()) {
            engine.cutStreams();
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

    private record CacheBody(long incarnation, long eventSequence, List<String> keys) {}

    /** A cached piece as it is written in JSON. */
    private record PieceBody(String customer, String weightsDigest, int tokens, String data) {
        static PieceBody of(PieceKey key, CachedPiece piece) {
            return new PieceBody(piece.customer(), piece.weightsDigest(), piece.tokens(), key.toHex());
        }

        CachedPiece toPiece() {
            if (customer == null || weightsDigest == null) {
                throw new IllegalArgumentException("customer or weights_digest is missing");
            }
            return new CachedPiece(customer, weightsDigest, tokens);
        }
    }
}
