package org.geraniumford.transport.engine;

import static java.util.Objects.requireNonNull;

import io.netty.handler.codec.http.HttpHeaders;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;
import org.geraniumford.core.cache.CacheEvent;
import org.geraniumford.core.cache.CacheSnapshot;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.Verdict;

/** An HTTP client of a model engine. Thread-safe. */
public final class EngineClient implements Engine {
    private static final Duration NO_TIMEOUT = Duration.ofMillis(-1);
    private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(30);
    private static final int OK = 200;
    private static final int CONFLICT = 409;

    private final String baseUrl;
    private final AsyncHttpClient http;

    private EngineClient(String baseUrl, AsyncHttpClient http) {
        this.baseUrl = baseUrl;
        this.http = http;
    }

    // -- construction

    /**
     * Creates a client.
     *
     * @param base the engine's base address
     * @param http the HTTP client, closed by its owner; it must not retry requests by itself
     * @return a client that has sent no request yet
     */
    public static EngineClient of(URI base, AsyncHttpClient http) {
        String url = requireNonNull(base, "base is null").toString();
        return new EngineClient(
                url.endsWith("/") ? url.substring(0, url.length() - 1) : url, requireNonNull(http, "http is null"));
    }

    // -- commands

    @Override
    public EngineStream run(EngineRequest request, CompletionListener listener) {
        CompletionHandler handler = new CompletionHandler(listener);
        http.executeRequest(
                post("/v1/completions", EngineJson.completion(request))
                        .setRequestTimeout(NO_TIMEOUT)
                        .setReadTimeout(NO_TIMEOUT),
                handler);
        return handler;
    }

    @Override
    public void cancel(String requestId) {
        String id = URLEncoder.encode(requestId, StandardCharsets.UTF_8);
        http.executeRequest(
                new RequestBuilder("DELETE").setUrl(baseUrl + "/v1/requests/" + id), new BoundedResponseHandler());
    }

    @Override
    public CompletableFuture<String> order(EngineOrder order) {
        RequestBuilder request = post("/orders", EngineJson.order(order))
                .setRequestTimeout(ORDER_TIMEOUT)
                .setReadTimeout(ORDER_TIMEOUT);
        return execute(request, Verdict.MAY_HAVE_RUN, EngineJson::weightsDigest);
    }

    @Override
    public CompletableFuture<Void> followCacheEvents(long after, Consumer<CacheEvent> listener) {
        RequestBuilder request =
                get("/events?after=" + after).setRequestTimeout(NO_TIMEOUT).setReadTimeout(NO_TIMEOUT);
        return http.executeRequest(request, new CacheEventHandler(listener)).toCompletableFuture();
    }

    // -- queries

    @Override
    public CompletableFuture<EngineState> state() {
        return execute(query("/state"), Verdict.NOT_RUN, EngineJson::state);
    }

    @Override
    public CompletableFuture<CacheSnapshot> cacheSnapshot() {
        return execute(query("/cache"), Verdict.NOT_RUN, EngineJson::snapshot);
    }

    // -- requests

    private <T> CompletableFuture<T> execute(
            RequestBuilder request, Verdict verdictIfFailed, Function<String, T> parser) {
        return http.executeRequest(request, new BoundedResponseHandler())
                .toCompletableFuture()
                .handle((response, failure) -> {
                    if (failure != null) {
                        throw Refusal.of(
                                        Reason.CONNECTION_LOST,
                                        verdictIfFailed,
                                        "engine: " + failure.getClass().getSimpleName())
                                .toException();
                    }
                    return read(response, verdictIfFailed, parser);
                });
    }

    private static <T> T read(Response response, Verdict verdictIfFailed, Function<String, T> parser) {
        int status = response.getStatusCode();
        if (status != OK) {
            Verdict verdict = status == CONFLICT ? Verdict.NOT_RUN : verdictIfFailed;
            throw Refusal.of(Reason.BACKEND_FAILED, verdict, "the engine answered with status " + status)
                    .toException();
        }
        try {
            return parser.apply(response.getResponseBody(StandardCharsets.UTF_8));
        } catch (IllegalArgumentException e) {
            throw Refusal.of(Reason.BACKEND_FAILED, verdictIfFailed, "engine: " + e.getMessage())
                    .toException();
        }
    }

    private RequestBuilder query(String path) {
        return get(path).setRequestTimeout(QUERY_TIMEOUT).setReadTimeout(QUERY_TIMEOUT);
    }

    private RequestBuilder get(String path) {
        return new RequestBuilder("GET").setUrl(baseUrl + path);
    }

    private RequestBuilder post(String path, String json) {
        return new RequestBuilder("POST")
                .setUrl(baseUrl + path)
                .setHeader("Content-Type", "application/json")
                .setBody(json.getBytes(StandardCharsets.UTF_8));
    }

    /** Reads the stream of cache events until it ends. */
    private static final class CacheEventHandler implements AsyncHandler<Void> {
        private static final int MAX_EVENT_BYTES = 4 * 1024 * 1024;

        private final Consumer<CacheEvent> listener;
        private final ServerSentEventDecoder decoder = ServerSentEventDecoder.of(MAX_EVENT_BYTES);

        private CacheEventHandler(Consumer<CacheEvent> listener) {
            this.listener = listener;
        }

        @Override
        public State onStatusReceived(HttpResponseStatus status) {
            return status.getStatusCode() == OK ? State.CONTINUE : State.ABORT;
        }

        @Override
        public State onHeadersReceived(HttpHeaders headers) {
            return State.CONTINUE;
        }

        @Override
        public State onBodyPartReceived(HttpResponseBodyPart part) {
            decoder.decode(part.getBodyPartBytes()).stream()
                    .map(EngineJson::cacheEvent)
                    .forEach(listener);
            return State.CONTINUE;
        }

        /** Does nothing, because the future of the request completes with the failure. */
        @Override
        public void onThrowable(Throwable failure) {}

        @Override
        public Void onCompleted() {
            return null;
        }
    }
}
