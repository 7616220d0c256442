package org.geraniumford.transport.platform;

import static java.util.Objects.requireNonNull;

import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;
import org.geraniumford.core.membership.Host;
import org.geraniumford.core.store.Store;
import org.geraniumford.core.store.TableOperation;
import org.geraniumford.core.store.TableRow;
import org.geraniumford.core.store.TransactionResult;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.transport.engine.BoundedResponseHandler;
import org.geraniumford.transport.response.StrictClientCodec;

/**
 * A client of the platform's HTTP interface. Futures complete on a network thread, which must not block. Thread-safe.
 */
public final class PlatformClient implements Store {
    /** The default timeout of a request to the platform. */
    public static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

    /** The timeout of a request that fetches weights. */
    public static final Duration WEIGHTS_TIMEOUT = Duration.ofSeconds(60);

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration RATE_LIMIT_RETRY_AFTER = Duration.ofMillis(500);
    private static final Duration OUTAGE_RETRY_AFTER = Duration.ofSeconds(1);
    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int CREATED = 201;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    private final String baseUrl;
    private final AsyncHttpClient client;
    private final Duration callTimeout;

    private PlatformClient(String baseUrl, AsyncHttpClient client, Duration callTimeout) {
        this.baseUrl = baseUrl;
        this.client = client;
        this.callTimeout = callTimeout;
    }

    // -- construction

    /**
     * Creates a client with the timeout {@link #CALL_TIMEOUT}.
     *
     * @param platform the platform's base address
     * @param client the HTTP client, preferably built from {@link #httpClientConfiguration}; closed by its owner
     * @return a client that has sent no request yet
     */
    public static PlatformClient of(URI platform, AsyncHttpClient client) {
        return of(platform, client, CALL_TIMEOUT);
    }

    /**
     * Creates a client with another timeout.
     *
     * @param platform the platform's base address
     * @param client the HTTP client; closed by its owner
     * @param callTimeout the timeout of each request, except for fetching weights
     * @return a client that has sent no request yet
     */
    public static PlatformClient of(URI platform, AsyncHttpClient client, Duration callTimeout) {
        requireNonNull(platform, "platform is null");
        requireNonNull(client, "client is null");
        String url = platform.toString();
        return new PlatformClient(url.endsWith("/") ? url.substring(0, url.length() - 1) : url, client, callTimeout);
    }

    /**
     * Returns settings for an HTTP client of the platform: short timeouts, and no automatic retries, so that each
     * request writes at most once.
     *
     * @return a builder with these settings
     */
    public static DefaultAsyncHttpClientConfig.Builder httpClientConfiguration() {
        return new DefaultAsyncHttpClientConfig.Builder()
                .setMaxRequestRetry(0)
                .setConnectTimeout(CONNECT_TIMEOUT)
                .setRequestTimeout(CALL_TIMEOUT)
                .setReadTimeout(CALL_TIMEOUT)
                .setHttpAdditionalChannelInitializer(StrictClientCodec::install);
    }

    // -- queries

    @Override
    public CompletableFuture<Optional<TableRow>> row(String table, String row) {
        return send("GET", "/tables/" + encoded(table) + "/" + encoded(row), Optional.empty())
                .thenApply(optional(body -> PlatformJson.row(row, body)));
    }

    @Override
    public CompletableFuture<List<TableRow>> rows(String table, String after, int limit) {
        String path = "/tables/" + encoded(table) + "?after=" + encoded(after) + "&limit=" + limit;
        return send("GET", path, Optional.empty()).thenApply(required(PlatformJson::rows));
    }

    @Override
    public CompletableFuture<Optional<String>> object(String digest) {
        return send("GET", "/objects/" + encoded(digest), Optional.empty()).thenApply(optional(Function.identity()));
    }

    /**
     * Reads the list of hosts, which may be out of date.
     *
     * @return the hosts, or a {@link org.geraniumford.core.verdict.RefusalException}
     */
    public CompletableFuture<List<Host>> hosts() {
        return send("GET", "/hosts", Optional.empty()).thenApply(required(PlatformJson::hosts));
    }

    // -- commands

    @Override
    public CompletableFuture<TransactionResult> transact(List<TableOperation> operations) {
        return send("POST", "/tables", Optional.of(PlatformJson.transaction(operations)))
                .thenApply(response -> response.getStatusCode() == CONFLICT
                        ? parsed(response, PlatformJson::conflicts)
                        : required(PlatformJson::versions).apply(response));
    }

    @Override
    public CompletableFuture<Void> putObject(String digest, String content) {
        return send("PUT", "/objects/" + encoded(digest), Optional.of(content)).thenApply(required(body -> null));
    }

    /**
     * Requests that the platform fetch the weights of a model version. The request may take up to
     * {@link #WEIGHTS_TIMEOUT}.
     *
     * @param modelVersion the version
     * @return the digest of its weights once they are available, or a
     *     {@link org.geraniumford.core.verdict.RefusalException}
     */
    public CompletableFuture<String> fetchWeights(String modelVersion) {
        return send("POST", "/weights/" + encoded(modelVersion) + "/fetch", Optional.of("{}"), WEIGHTS_TIMEOUT)
                .thenApply(required(PlatformJson::weightsDigest));
    }

    // -- sending

    private CompletableFuture<Response> send(String method, String path, Optional<String> body) {
        return send(method, path, body, callTimeout);
    }

    private CompletableFuture<Response> send(String method, String path, Optional<String> body, Duration timeout) {
        RequestBuilder request = new RequestBuilder(method)
                .setUrl(baseUrl + path)
                .setCharset(StandardCharsets.UTF_8)
                .setRequestTimeout(timeout)
                .setReadTimeout(timeout);
        body.ifPresent(
                content -> request.setBody(content).setHeader("Content-Type", "application/json; charset=utf-8"));
        return client.executeRequest(request.build(), new BoundedResponseHandler())
                .toCompletableFuture()
                .handle((response, failure) -> {
                    if (failure != null) {
                        throw PlatformFailures.toRefusal(failure).toException();
                    }
                    return response;
                });
    }

    // -- responses

    /** Returns a function that parses a response as {@link #required} does, but returns empty for status 404. */
    private static <T> Function<Response, Optional<T>> optional(Function<String, T> parser) {
        return response -> response.getStatusCode() == NOT_FOUND
                ? Optional.empty()
                : Optional.of(required(parser).apply(response));
    }

    /**
     * Returns a function that parses the body of a successful response. Another status or a malformed body fails with a
     * {@link org.geraniumford.core.verdict.RefusalException}.
     */
    private static <T> Function<Response, T> required(Function<String, T> parser) {
        return response -> {
            int status = response.getStatusCode();
            if (status != OK && status != CREATED && status != NO_CONTENT) {
                throw refusal(status).toException();
            }
            return parsed(response, parser);
        };
    }

    private static <T> T parsed(Response response, Function<String, T> parser) {
        try {
            return parser.apply(response.getResponseBody(StandardCharsets.UTF_8));
        } catch (MalformedAnswerException e) {
            throw Refusal.of(Reason.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, e.getMessage())
                    .toException();
        }
    }

    private static Refusal refusal(int status) {
        return switch (status) {
            case TOO_MANY_REQUESTS ->
                Refusal.notRun(Reason.STORE_UNAVAILABLE, "the platform's rate is used up")
                        .withRetryAfter(RATE_LIMIT_RETRY_AFTER);
            case UNAVAILABLE ->
                Refusal.notRun(Reason.STORE_UNAVAILABLE, "the platform is out of service")
                        .withRetryAfter(OUTAGE_RETRY_AFTER);
            default ->
                Refusal.of(Reason.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, "the platform answered with status " + status);
        };
    }

    private static String encoded(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
