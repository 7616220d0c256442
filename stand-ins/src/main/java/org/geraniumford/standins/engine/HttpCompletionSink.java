package org.geraniumford.standins.engine;

import java.util.Map;
import org.geraniumford.standins.http.Json;
import org.geraniumford.transport.http.HttpExchange;

/** Sends the output of a completion as server-sent events. */
final class HttpCompletionSink implements CompletionSink {
    private final HttpExchange exchange;
    private final CompletionRequest request;
    private final long incarnation;
    private boolean responseStarted;

    HttpCompletionSink(HttpExchange exchange, CompletionRequest request, long incarnation) {
        this.exchange = exchange;
        this.request = request;
        this.incarnation = incarnation;
    }

    @Override
    public boolean isWritable() {
        return exchange.isWritable();
    }

    @Override
    public void started(int cachedBlocks) {
        responseStarted = true;
        exchange.startEvents(Map.of());
        send(new CompletionEvent.Started(
                "started",
                incarnation,
                request.weightsDigest(),
                cachedBlocks,
                request.pieceKeys().size()));
    }

    @Override
    public void token(int offset, String text) {
        send(new CompletionEvent.Token("token", offset, text, incarnation, request.weightsDigest()));
    }

    @Override
    public void completed(int outputTokens, int cachedTokens) {
        send(new CompletionEvent.End("end", "length", outputTokens, request.promptTokens(), cachedTokens));
        exchange.endEvents();
    }

    @Override
    public void rejected(int status, String error) {
        Json.respondError(exchange, status, error);
    }

    @Override
    public void aborted() {
        exchange.abort();
    }

    @Override
    public void cancelled() {
        if (responseStarted) {
            exchange.endEvents();
        } else {
            Json.respondError(exchange, 409, "cancelled");
        }
    }

    private void send(CompletionEvent event) {
        exchange.sendEvent(Json.write(event));
    }
}
