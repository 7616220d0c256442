package org.geraniumford.daemon.entry;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.transport.http.HttpExchange;

/**
 * The error response of a request that the router refused.
 *
 * @param requestId the request's identifier
 * @param refusal the reason, verdict and retry-after
 */
record ErrorResponse(String requestId, Refusal refusal) {
    /** The response's header field that holds the request's identifier. */
    static final String REQUEST_ID_HEADER = "X-Request-Id";

    private static final long MILLIS_PER_SECOND = 1_000;

    // -- commands

    /** Sends the response as a JSON body with the status of its reason. */
    void sendTo(HttpExchange exchange) {
        exchange.respond(refusal.reason().status(), HttpExchange.JSON, json(), headers());
    }

    // -- queries

    /** Returns the JSON body. */
    String json() {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.putObject("error")
                .put("reason", refusal.reason().label())
                .put("verdict", refusal.verdict().label())
                .put("message", refusal.detail())
                .put("request_id", requestId)
                .put("retry_after_ms", refusal.retryAfter().toMillis());
        return body.toString();
    }

    private Map<String, String> headers() {
        return Stream.concat(
                        Stream.of(Map.entry(REQUEST_ID_HEADER, requestId)),
                        retryAfterSeconds().map(seconds -> Map.entry("Retry-After", seconds)).stream())
                .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    /**
     * Returns the retry-after in seconds, rounded up because the header field takes whole seconds only; empty if a
     * retry is useless.
     */
    private Optional<String> retryAfterSeconds() {
        Duration retryAfter = refusal.retryAfter();
        long seconds = (retryAfter.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
        return retryAfter.isZero() ? Optional.empty() : Optional.of(Long.toString(Math.max(1, seconds)));
    }
}
