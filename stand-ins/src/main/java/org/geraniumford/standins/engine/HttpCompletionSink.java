package org.geraniumford.standins.engine;

import java.util.Map;
import org.geraniumford.standins.http.Json;
import org.geraniumford.transport.http.HttpExchange;

/** Writes an answer as server-sent events. */
final class HttpCompletionSink implements CompletionSink {
    private final HttpExchange exchange;
    private final CompletionRequest request;
    private final long incarnation;
    private boolean begun;

    HttpCompletionSink(HttpExchange exchange, CompletionRequest request, long incarnation) {
        this.exchange = exchange;
        this.request = request;
        this.incarnation = incarnation;
    }

    @Override
    public boolean writable() {
        return exchange.writable();
    }

    @Override
    public void started(int cachedPieces) {
        begun = true;
        exchange.startEvents(Map.of());
        send(new AnswerEvent.Started(
                "started",
                incarnation,
                request.weightsDigest(),
                cachedPieces,
                request.pieceKeys().size()));
    }

    @Override
    public void token(int offset, String text) {
        send(new AnswerEvent.Token("token", offset, text, incarnation, request.weightsDigest()));
    }

    @Override
    public void end(int offset, int cachedTokens) {
        send(new AnswerEvent.End("end", "length", offset, request.promptTokens(), cachedTokens));
        exchange.endEvents();
    }

    @Override
    public void refused(int status, String error) {
        Json.refuse(exchange, status, error);
    }

    @Override
    public void cut() {
        exchange.abort();
    }

    @Override
    public void cancelled() {
        if (begun) {
            exchange.endEvents();
        } else {
            Json.refuse(exchange, 409, "cancelled");
        }
    }

    private void send(AnswerEvent event) {
        exchange.sendEvent(Json.write(event));
    }
}
