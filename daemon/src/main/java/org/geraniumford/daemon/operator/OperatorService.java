package org.geraniumford.daemon.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.Map;
import java.util.Optional;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.transport.http.HttpExchange;
import org.geraniumford.transport.http.HttpService;
import org.geraniumford.transport.log.LogEvent;

/** Responds to operators' HTTP requests. */
final class OperatorService implements HttpService {
    private static final String METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;

    private final ObjectMapper mapper = new ObjectMapper();
    private final PrometheusMeterRegistry registry;
    private final ManagedProcess process;

    OperatorService(PrometheusMeterRegistry registry, ManagedProcess process) {
        this.registry = registry;
        this.process = process;
    }

    // -- requests

    @Override
    public void handle(HttpExchange exchange) {
        Optional<OperatorRoute> route = OperatorRoute.of(exchange.path());
        if (route.isEmpty()) {
            refuse(exchange, Reason.UNKNOWN_PATH, "the operator port does not serve this path");
        } else if (!route.get().method().equals(exchange.method())) {
            refuse(
                    exchange,
                    Reason.METHOD_NOT_ALLOWED,
                    "the path takes " + route.get().method());
        } else {
            respondOrRefuse(route.get(), exchange);
        }
    }

    @Override
    public void requestUnreadable(HttpExchange exchange, Reason reason) {
        refuse(exchange, reason, "the request cannot be read");
    }

    // -- responses

    private void respondOrRefuse(OperatorRoute route, HttpExchange exchange) {
        try {
            respond(route, exchange);
        } catch (RuntimeException | JsonProcessingException e) {
            LogEvent.of("operator_request_failed").with("path", exchange.path()).error(e);
            refuse(exchange, Reason.INTERNAL, "see the log");
        }
    }

    private void respond(OperatorRoute route, HttpExchange exchange) throws JsonProcessingException {
        switch (route) {
            case HEALTH -> exchange.respondJson(OK, "{\"healthy\":true}");
            case READY -> respondReadiness(exchange);
            case METRICS -> exchange.respond(OK, METRICS_CONTENT_TYPE, registry.scrape(), Map.of());
            case STATUS -> exchange.respondJson(OK, mapper.writeValueAsString(process.status()));
            case EXPLAIN -> respondExplanation(exchange);
            case DRAIN -> startDrain(exchange);
        }
    }

    private void respondReadiness(HttpExchange exchange) {
        boolean ready = process.isReady();
        exchange.respondJson(ready ? OK : UNAVAILABLE, "{\"ready\":" + ready + "}");
    }

    private void respondExplanation(HttpExchange exchange) {
        String requestId =
                exchange.path().substring(OperatorRoute.EXPLAIN.path().length());
        process.explain(requestId)
                .ifPresentOrElse(
                        json -> exchange.respondJson(OK, json),
                        () -> respondError(exchange, NOT_FOUND, "unknown_request", "this process has no record of it"));
    }

    private void startDrain(HttpExchange exchange) {
        LogEvent.of("drain_asked").info();
        process.drain();
        exchange.respondJson(ACCEPTED, "{\"draining\":true}");
    }

    private void refuse(HttpExchange exchange, Reason reason, String message) {
        respondError(exchange, reason.status(), reason.label(), message);
    }

    private void respondError(HttpExchange exchange, int status, String reason, String message) {
        var body = mapper.createObjectNode();
        body.putObject("error").put("reason", reason).put("message", message);
        exchange.respondJson(status, body.toString());
    }
}
