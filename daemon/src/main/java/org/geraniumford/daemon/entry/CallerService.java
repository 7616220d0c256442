package org.geraniumford.daemon.entry;

import java.util.Map;
import java.util.Optional;
import org.geraniumford.core.configuration.Configuration;
import org.geraniumford.core.configuration.ConfigurationHolder;
import org.geraniumford.core.configuration.Customer;
import org.geraniumford.core.configuration.PlainService;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.RefusalException;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.Message;
import org.geraniumford.daemon.limits.CustomerGate;
import org.geraniumford.transport.http.HttpExchange;
import org.geraniumford.transport.http.HttpService;
import org.geraniumford.transport.log.LogEvent;

/** Answers the callers of an entry: finds out who asks and what for, and hands it on. */
final class CallerService implements HttpService {
    private static final Map<String, AnswerFormat> MODEL_PATHS =
            Map.of("/v1/chat/completions", AnswerFormat.CHAT, "/v1/completions", AnswerFormat.TEXT);

    private final ConfigurationHolder configurations;
    private final RequestIds requestIds;
    private final ModelShards shards;
    private final ServiceCaller calls;
    private final CustomerGate gate;
    private final EntryMetrics metrics;
    private final InFlight inFlight;

    CallerService(
            ConfigurationHolder configurations,
            RequestIds requestIds,
            ModelShards shards,
            ServiceCaller calls,
            CustomerGate gate,
            EntryMetrics metrics,
            InFlight inFlight) {
        this.configurations = configurations;
        this.requestIds = requestIds;
        this.shards = shards;
        this.calls = calls;
        this.gate = gate;
        this.metrics = metrics;
        this.inFlight = inFlight;
    }

    // -- requests

    @Override
    public void handle(HttpExchange exchange) {
        long acceptedNanos = System.nanoTime();
        String requestId = requestIds.next();
        if (!inFlight.enter()) {
            refuse(exchange, requestId, Refusal.notRun(Reason.SHUTTING_DOWN, "this entry is shutting down"));
            return;
        }
        exchange.onDone(inFlight::exit);
        try {
            route(exchange, requestId, acceptedNanos);
        } catch (RefusalException e) {
            refuse(exchange, requestId, e.refusal());
        } catch (RuntimeException e) {
            LogEvent.of("request_failed").with("request", requestId).error(e);
            refuse(exchange, requestId, Refusal.notRun(Reason.INTERNAL, "a defect in the router"));
        }
    }

    @Override
    public void rejected(HttpExchange exchange, Reason reason) {
        refuse(exchange, requestIds.next(), Refusal.notRun(reason, "the request could not be read whole"));
    }

    private void route(HttpExchange exchange, String requestId, long acceptedNanos) {
        Optional<AnswerFormat> format = Optional.ofNullable(MODEL_PATHS.get(exchange.path()));
        Optional<ServicePath> service = ServicePath.of(exchange.uri());
        check(format.isPresent() || service.isPresent(), Reason.UNKNOWN_PATH, "the path is not one of the router's");
        check(
                format.isEmpty() || exchange.method().equals("POST"),
                Reason.METHOD_NOT_ALLOWED,
                "the path takes POST only");
        Configuration configuration = configurations.current();
        check(configuration.version() > 0, Reason.NO_CONFIGURATION, "no configuration has been accepted yet");
        Customer customer = Authenticator.customer(configuration, exchange.header("authorization"));
        if (format.isPresent()) {
            Arrival arrival = new Arrival(requestId, exchange, format.get(), customer, configuration, acceptedNanos);
            check(shards.offer(arrival), Reason.RING_FULL, "too many requests wait to be routed");
        } else {
            callService(exchange, requestId, configuration, customer, service.get());
        }
    }

    // -- plain services

    private void callService(
            HttpExchange exchange,
            String requestId,
            Configuration configuration,
            Customer customer,
            ServicePath target) {
        PlainService service = Optional.ofNullable(configuration.services().get(target.service()))
                .orElseThrow(() -> Refusal.notRun(Reason.UNKNOWN_SERVICE, "no service has the name in the path")
                        .toException());
        check(customer.mayUseService(service.name()), Reason.FORBIDDEN, "the customer may not call the service");
        Optional<String> key = exchange.header("idempotency-key").filter(text -> !text.isBlank());
        check(
                service.idempotent(exchange.method()) || key.isPresent(),
                Reason.IDEMPOTENCY_KEY_MISSING,
                "the call needs the header field Idempotency-Key");
        String body = exchange.bodyText()
                .orElseThrow(() -> Refusal.notRun(Reason.MALFORMED_REQUEST, "the body is not UTF-8")
                        .toException());
        gate.admit(customer, 0).ifPresent(refusal -> {
            throw refusal.toException();
        });
        exchange.onDone(() -> gate.finished(customer, 0));
        calls.call(new ServiceCaller.ServiceRequest(
                        requestId,
                        customer,
                        service,
                        exchange.method(),
                        target.path(),
                        exchange.header("content-type").orElse(""),
                        body,
                        key))
                .whenComplete((result, failure) -> answered(exchange, requestId, result, failure));
    }

    private void answered(HttpExchange exchange, String requestId, Message.CallResult result, Throwable failure) {
        if (failure == null) {
            Map<String, String> fields = Map.of(ErrorAnswer.REQUEST_ID, requestId);
            exchange.respond(result.status(), result.contentType(), result.body(), fields);
        } else {
            refuse(exchange, requestId, RefusalException.refusalOf(failure, Verdict.MAY_HAVE_RUN));
        }
    }

    // -- refusals

    private void refuse(HttpExchange exchange, String requestId, Refusal refusal) {
        metrics.refused(refusal.reason());
        new ErrorAnswer(requestId, refusal).sendTo(exchange);
        LogEvent.of("request_refused")
                .with("request", requestId)
                .with("reason", refusal.reason().label())
                .with("verdict", refusal.verdict().label())
                .debug();
    }

    private static void check(boolean holds, Reason reason, String detail) {
        if (!holds) {
            throw Refusal.notRun(reason, detail).toException();
        }
    }
}
