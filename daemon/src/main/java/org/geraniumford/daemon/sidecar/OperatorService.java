package org.geraniumford.daemon.sidecar;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.Map;
import java.util.function.Supplier;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.transport.http.HttpExchange;
import org.geraniumford.transport.http.HttpService;

/** The sidecar's operator port. */
final class OperatorService implements HttpService {
    private static final int ACCEPTED = 202;
    private static final int NOT_FOUND = 404;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final String TEXT = "text/plain; version=0.0.4; charset=utf-8";

    private final Supplier<SidecarStatus> status;
    private final PrometheusMeterRegistry registry;
    private final Runnable drain;

    private OperatorService(Supplier<SidecarStatus> status, PrometheusMeterRegistry registry, Runnable drain) {
        this.status = status;
        this.registry = registry;
        this.drain = drain;
    }

    // -- construction

    static OperatorService of(Supplier<SidecarStatus> status, PrometheusMeterRegistry registry, Runnable drain) {
        return new OperatorService(status, registry, drain);
    }

    // -- commands

    @Override
    public void handle(HttpExchange exchange) {
        switch (exchange.method() + ' ' + exchange.path()) {
            case "GET /health" -> exchange.respondJson(OK, "{}");
            case "GET /ready" -> exchange.respondJson(status.get().ready() ? OK : UNAVAILABLE, "{}");
            case "GET /status" -> exchange.respondJson(OK, status.get().json());
            case "GET /metrics" -> exchange.respond(OK, TEXT, registry.scrape(), Map.of());
            case "POST /drain" -> {
                drain.run();
                exchange.respondJson(ACCEPTED, "{}");
            }
            default -> exchange.respondJson(NOT_FOUND, "{}");
        }
    }

    @Override
    public void rejected(HttpExchange exchange, Reason reason) {
        exchange.respondJson(reason.status(), "{}");
    }
}
