package org.geraniumford.transport.engine;

import static java.util.Objects.requireNonNull;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;
import org.asynchttpclient.netty.request.NettyRequest;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.Message;

/** An HTTP client of a plain service. Thread-safe. */
public final class ServiceClient {
    private final String baseUrl;
    private final AsyncHttpClient http;

    private ServiceClient(String baseUrl, AsyncHttpClient http) {
        this.baseUrl = baseUrl;
        this.http = http;
    }

    // -- construction

    /**
     * Creates a client.
     *
     * @param base the service's base address
     * @param http the HTTP client, closed by its owner; it must not retry requests by itself
     * @return a client that has sent no request yet
     */
    public static ServiceClient of(URI base, AsyncHttpClient http) {
        String url = requireNonNull(base, "base is null").toString();
        return new ServiceClient(
                url.endsWith("/") ? url.substring(0, url.length() - 1) : url, requireNonNull(http, "http is null"));
    }

    // -- commands

    /**
     * Forwards a call to the service, without retries.
     *
     * @param call the call
     * @return the service's response, or a {@link org.geraniumford.core.verdict.RefusalException}; its verdict is
     *     {@link Verdict#NOT_RUN} if nothing was written to the service
     */
    public CompletableFuture<Message.CallResponse> forward(Message.Call call) {
        try {
            return send(call);
        } catch (IllegalArgumentException e) {
            return CompletableFuture.failedFuture(
                    Refusal.notRun(Reason.MALFORMED_REQUEST, "the path, method or content type cannot be sent")
                            .toException());
        }
    }

    private CompletableFuture<Message.CallResponse> send(Message.Call call) {
        // The HTTP client rounds timeouts down to whole milliseconds, so that one below 1 ms would become 0.
        Duration timeout = Duration.ofNanos(Math.max(1_000_000, call.timeoutMicros() * 1_000));
        RequestBuilder request = new RequestBuilder(call.method())
                .setUrl(baseUrl + call.path())
                .setRequestTimeout(timeout)
                .setReadTimeout(timeout);
        if (!call.contentType().isEmpty()) {
            request.setHeader("Content-Type", call.contentType())
                    .setBody(call.body().getBytes(StandardCharsets.UTF_8));
        }
        CallHandler handler = new CallHandler();
        return http.executeRequest(request, handler).toCompletableFuture().handle((response, failure) -> {
            if (failure != null) {
                throw handler.refusalOf(failure).toException();
            }
            return callResponse(call, response);
        });
    }

    private static Message.CallResponse callResponse(Message.Call call, Response response) {
        return new Message.CallResponse(
                call.id(),
                response.getStatusCode(),
                Optional.ofNullable(response.getContentType()).orElse(""),
                response.getResponseBody(StandardCharsets.UTF_8));
    }

    /** Records whether the request was written, which decides the verdict of a failure. */
    private static final class CallHandler extends BoundedResponseHandler {
        private volatile boolean written;

        @Override
        public void onRequestSend(NettyRequest request) {
            written = true;
        }

        private Refusal refusalOf(Throwable failure) {
            String detail = "plain service: " + failure.getClass().getSimpleName();
            return written
                    ? Refusal.of(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, detail)
                    : Refusal.notRun(Reason.CONNECT_FAILED, detail);
        }
    }
}
