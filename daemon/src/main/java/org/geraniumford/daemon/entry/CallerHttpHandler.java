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
import org.geraniumford.daemon.limits.RequestLimiter;
import org.geraniumford.transport.http.HttpExchange;
import org.geraniumford.transport.http.HttpService;
import org.geraniumford.transport.log.LogEvent;

/**
 * Handles the HTTP requests of callers: authenticates the caller, then dispatches the request to a model shard or to a
 * plain service.
 */
final class CallerHttpHandler implements HttpService {
    private static final Map<String, CompletionFormat> MODEL_PATHS =
            Map.of("/v1/chat/completions", CompletionFormat.CHAT, "/v1/completions", CompletionFormat.TEXT);

    private final ConfigurationHolder configurations;
    private final RequestIdGenerator requestIds;
    private final ModelShards shards;
    private final ServiceCaller serviceCaller;
    private final RequestLimiter limiter;
    private final EntryMetrics metrics;
    private final InFlightRequests inFlight;

    CallerHttpHandler(
            ConfigurationHolder configurations,
            RequestIdGenerator requestIds,
            ModelShards shards,
            ServiceCaller serviceCaller,
            RequestLimiter limiter,
            EntryMetrics metrics,
            InFlightRequests inFlight) {
        this.configurations = configurations;
        this.requestIds = requestIds;
        this.shards = shards;
        this.serviceCaller = serviceCaller;
        this.limiter = limiter;
        this.metrics = metrics;
        this.inFlight = inFlight;
    }

    // -- requests

    @Override
    public void handle(HttpExchange exchange) {
        long acceptedNanos = System.nanoTime();
        String requestId = requestIds.next();
        if (!inFlight.tryAdd()) {
            refuse(exchange, requestId, Refusal.notRun(Reason.SHUTTING_DOWN, "this entry is shutting down"));
            return;
        }
        exchange.onDone(inFlight::remove);
        try {
            dispatch(exchange, requestId, acceptedNanos);
        } catch (RefusalException e) {
            refuse(exchange, requestId, e.refusal());
        } catch (RuntimeException e) {
            LogEvent.of("request_failed").with("request", requestId).error(e);
            refuse(exchange, requestId, Refusal.notRun(Reason.INTERNAL, "a defect in the router"));
        }
    }

    @Override
    public void requestUnreadable(HttpExchange exchange, Reason reason) {
        refuse(exchange, requestIds.next(), Refusal.notRun(reason, "the request could not be read whole"));
    }

    private void dispatch(HttpExchange exchange, String requestId, long acceptedNanos) {
        Optional<CompletionFormat> format = Optional.ofNullable(MODEL_PATHS.get(exchange.path()));
        Optional<ServicePath> service = ServicePath.of(exchange.uri());
        check(format.isPresent() || service.isPresent(), Reason.UNKNOWN_PATH, "the path is not one of the router's");
        check(
                format.isEmpty() || exchange.method().equals("POST"),
                Reason.METHOD_NOT_ALLOWED,
                "the path takes POST only");
        Configuration configuration = configurations.current();
        check(configuration.version() > 0, Reason.NO_CONFIGURATION, "no configuration has been accepted yet");
        Customer customer = Authenticator.authenticate(configuration, exchange.header("authorization"));
        if (format.isPresent()) {
            AuthenticatedRequest request =
                    new AuthenticatedRequest(requestId, exchange, format.get(), customer, configuration, acceptedNanos);
            check(shards.offer(request), Reason.RING_FULL, "too many requests wait to be routed");
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
        check(customer.canUseService(service.name()), Reason.FORBIDDEN, "the customer may not call the service");
        Optional<String> idempotencyKey = exchange.header("idempotency-key").filter(text -> !text.isBlank());
        check(
                service.isIdempotent(exchange.method()) || idempotencyKey.isPresent(),
                Reason.IDEMPOTENCY_KEY_MISSING,
                "the call needs the header field Idempotency-Key");
        String body = exchange.bodyText()
                .orElseThrow(() -> Refusal.notRun(Reason.MALFORMED_REQUEST, "the body is not UTF-8")
                        .toException());
        // A call of a plain service counts as a request without tokens.
        limiter.admit(customer, 0).ifPresent(refusal -> {
            throw refusal.toException();
        });
        exchange.onDone(() -> limiter.release(customer, 0));
        serviceCaller
                .call(new ServiceCaller.ServiceRequest(
                        requestId,
                        customer,
                        service,
                        exchange.method(),
                        target.path(),
                        exchange.header("content-type").orElse(""),
                        body,
                        idempotencyKey))
                .whenComplete((response, failure) -> respond(exchange, requestId, response, failure));
    }

    private void respond(HttpExchange exchange, String requestId, Message.CallResponse response, Throwable failure) {
        if (failure == null) {
            Map<String, String> headerFields = Map.of(ErrorResponse.REQUEST_ID_HEADER, requestId);
            exchange.respond(response.status(), response.contentType(), response.body(), headerFields);
        } else {
            refuse(exchange, requestId, RefusalException.refusalOf(failure, Verdict.MAY_HAVE_RUN));
        }
    }

    // -- refusals

    private void refuse(HttpExchange exchange, String requestId, Refusal refusal) {
        metrics.recordRefusal(refusal.reason());
        new ErrorResponse(requestId, refusal).sendTo(exchange);
        LogEvent.of("request_refused")
                .with("request", requestId)
                .with("reason", refusal.reason().label())
                .with("verdict", refusal.verdict().label())
                .debug();
    }

    private static void check(boolean condition, Reason reason, String detail) {
        if (!condition) {
            throw Refusal.notRun(reason, detail).toException();
        }
    }
}
