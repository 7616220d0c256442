package org.geraniumford.standins.platform;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.geraniumford.standins.http.Json;
import org.geraniumford.standins.http.Routes;
import org.geraniumford.transport.http.HttpExchange;

/** The HTTP interface of the platform. Confined to the thread of the event loop. */
final class PlatformRoutes {
    private static final int MAX_LISTED_ROWS = 1000;
    /** Above this number of simultaneous loads, the load time grows in proportion. */
    private static final int MAX_FULL_SPEED_LOADS = 3;

    private static final String OCTET_STREAM = "application/octet-stream";

    private final EventLoop loop;
    private final PlatformOptions options;
    private final Random random;
    private final Tables tables = new Tables();
    private final Map<String, byte[]> objects = new HashMap<>();
    private final HostList hosts;
    private final RateLimit writeLimit;
    private final RateLimit readLimit;
    private PlatformFaults faults = PlatformFaults.none();
    private int activeLoads;

    PlatformRoutes(EventLoop loop, PlatformOptions options) {
        this.loop = loop;
        this.options = options;
        this.random = new Random(options.seed());
        this.hosts = new HostList(TimeUnit.MILLISECONDS.toMicros(options.hostListLagMillis()));
        this.writeLimit = new RateLimit(options.writesPerSecond(), now());
        this.readLimit = new RateLimit(options.readsPerSecond(), now());
    }

    Routes routes() {
        return Routes.empty()
                .with("GET", "/tables/", withReadLimit(this::readTable))
                .with("POST", "/tables", withWriteLimit(this::commit))
                .with("GET", "/objects/", withReadLimit(this::readObject))
                .with("PUT", "/objects/", withWriteLimit(this::writeObject))
                .with("GET", "/hosts", withReadLimit(this::listHosts))
                .with("PUT", "/hosts/", this::putHost)
                .with("POST", "/weights/", withReadLimit(this::fetchWeights))
                .with("POST", "/faults", (exchange, pathSuffix) -> changeFaults(exchange));
    }

    // -- limits and faults

    private BiConsumer<HttpExchange, String> withReadLimit(BiConsumer<HttpExchange, String> handler) {
        return (exchange, pathSuffix) -> admit(exchange, readLimit, () -> handler.accept(exchange, pathSuffix));
    }

    private BiConsumer<HttpExchange, String> withWriteLimit(BiConsumer<HttpExchange, String> handler) {
        return (exchange, pathSuffix) -> admit(exchange, writeLimit, () -> handler.accept(exchange, pathSuffix));
    }

    /** Runs a handler after the injected delay, unless an outage or the rate limit rejects the request. */
    private void admit(HttpExchange exchange, RateLimit limit, Runnable handler) {
        if (faults.outage()) {
            Json.respondError(exchange, 503, "outage");
        } else if (!limit.tryAcquire(now())) {
            Json.respondError(exchange, 429, "rate_limited");
        } else if (faults.slowMillis() > 0) {
            loop.schedule(() -> Routes.runGuarded(exchange, handler), faults.slowMillis(), TimeUnit.MILLISECONDS);
        } else {
            handler.run();
        }
    }

    /** Responds to a write that was executed, unless a fault loses the response. */
    private void respondUnlessLost(HttpExchange exchange, int status, Object body) {
        if (faults.loseReplies() > 0) {
            faults = faults.afterLostResponse();
            exchange.abort();
        } else if (random.nextDouble() < faults.loseReplyFraction()) {
            exchange.abort();
        } else {
            Json.respond(exchange, status, body);
        }
    }

    /** Aborts a write before its execution if a fault loses it, and returns whether it did. */
    private boolean loseRequest(HttpExchange exchange) {
        boolean lost = faults.loseRequests() > 0;
        if (lost) {
            faults = faults.afterLostRequest();
            exchange.abort();
        }
        return lost;
    }

    /** Applies a change of the injected faults. */
    void inject(PlatformFaults change) {
        faults = faults.with(change);
        hosts.setStale(faults.staleHosts());
    }

    private void changeFaults(HttpExchange exchange) {
        inject(Json.readBody(exchange, PlatformFaults.class));
        Json.respond(exchange, 200, faults);
    }

    // -- tables

    /** Responds to {@code /tables/TABLE/ROW} with that row, and to {@code /tables/TABLE} with a list of rows. */
    private void readTable(HttpExchange exchange, String pathSuffix) {
        int slash = pathSuffix.indexOf('/');
        if (slash < 0) {
            listRows(exchange, decode(pathSuffix));
            return;
        }
        tables.find(decode(pathSuffix.substring(0, slash)), decode(pathSuffix.substring(slash + 1)))
                .ifPresentOrElse(
                        row -> Json.respond(exchange, 200, row), () -> Json.respondError(exchange, 404, "unknown_row"));
    }

    private void listRows(HttpExchange exchange, String table) {
        Map<String, List<String>> query = new QueryStringDecoder(exchange.uri()).parameters();
        String after = query.getOrDefault("after", List.of("")).get(0);
        String limit = query.getOrDefault("limit", List.of(String.valueOf(MAX_LISTED_ROWS)))
                .get(0);
        int maxRows = Math.min(MAX_LISTED_ROWS, Integer.parseInt(limit));
        Json.respond(exchange, 200, Map.of("rows", tables.rows(table, after, maxRows)));
    }

    private void commit(HttpExchange exchange, String pathSuffix) {
        List<Tables.Operation> operations =
                Json.readBody(exchange, Transaction.class).operations();
        if (operations == null || operations.isEmpty()) {
            throw new IllegalArgumentException("operations is missing");
        }
        if (loseRequest(exchange)) {
            return;
        }
        Tables.CommitResult result = tables.commit(operations);
        if (result.conflicts().isEmpty()) {
            respondUnlessLost(exchange, 200, Map.of("versions", result.versions()));
        } else {
            respondUnlessLost(exchange, 409, Map.of("conflicts", result.conflicts()));
        }
    }

    // -- objects

    private void readObject(HttpExchange exchange, String digest) {
        byte[] bytes = objects.get(digest);
        if (bytes == null) {
            Json.respondError(exchange, 404, "unknown_object");
        } else {
            exchange.respond(200, OCTET_STREAM, bytes, Map.of());
        }
    }

    private void writeObject(HttpExchange exchange, String digest) {
        byte[] bytes = exchange.bodyBytes();
        if (!sha256(bytes).equals(digest)) {
            throw new IllegalArgumentException("the digest is not that of the body");
        }
        if (loseRequest(exchange)) {
            return;
        }
        objects.put(digest, bytes);
        respondUnlessLost(exchange, 200, Map.of());
    }

    private static String sha256(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is part of every Java platform", e);
        }
    }

    // -- hosts and weights

    private void listHosts(HttpExchange exchange, String pathSuffix) {
        Json.respond(exchange, 200, Map.of("hosts", hosts.hosts(now())));
    }

    private void putHost(HttpExchange exchange, String name) {
        hosts.put(Json.readBody(exchange, HostBody.class).withName(decode(name)), now());
        Json.respond(exchange, 200, Map.of());
    }

    private void fetchWeights(HttpExchange exchange, String pathSuffix) {
        if (!pathSuffix.endsWith("/fetch")) {
            Json.respondError(exchange, 404, "unknown_path");
            return;
        }
        String version = decode(pathSuffix.substring(0, pathSuffix.length() - "/fetch".length()));
        activeLoads++;
        long loadMillis =
                options.weightLoadMillis() * Math.max(MAX_FULL_SPEED_LOADS, activeLoads) / MAX_FULL_SPEED_LOADS;
        loop.schedule(
                () -> {
                    activeLoads--;
                    Json.respond(exchange, 200, Map.of("weights_digest", weightsDigest(version)));
                },
                loadMillis,
                TimeUnit.MILLISECONDS);
    }

    /** Returns the digest of the weights of a version, here a digest of its name. */
    private static String weightsDigest(String version) {
        return sha256(version.getBytes(StandardCharsets.UTF_8));
    }

    private static String decode(String encoded) {
        return QueryStringDecoder.decodeComponent(encoded);
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
    }

    private record Transaction(List<Tables.Operation> operations) {}
}
