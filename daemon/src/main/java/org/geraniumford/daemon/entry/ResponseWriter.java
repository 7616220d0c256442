package org.geraniumford.daemon.entry;

import java.util.List;
import java.util.Map;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.transport.http.HttpExchange;

/** Writes the response of one model request to its caller. Used by one thread only; not thread-safe. */
abstract class ResponseWriter {
    private final HttpExchange exchange;
    private final CompletionFormat format;
    private final String requestId;
    private final String model;

    private ResponseWriter(HttpExchange exchange, CompletionFormat format, String requestId, String model) {
        this.exchange = exchange;
        this.format = format;
        this.requestId = requestId;
        this.model = model;
    }

    // -- construction

    static ResponseWriter of(HttpExchange exchange, CompletionFormat format, String requestId, CallerRequest request) {
        return request.stream()
                ? new Streaming(exchange, format, requestId, request.model())
                : new Buffered(exchange, format, requestId, request.model());
    }

    // -- commands

    /** Writes the next tokens. */
    abstract void write(List<String> tokens);

    /** Ends the response after its last token. */
    abstract void complete(ResponseSummary summary);

    /** Ends the response with an error. */
    void fail(Refusal refusal) {
        new ErrorResponse(requestId, refusal).sendTo(exchange);
    }

    // -- queries

    HttpExchange exchange() {
        return exchange;
    }

    private Map<String, String> headers() {
        return Map.of(ErrorResponse.REQUEST_ID_HEADER, requestId);
    }

    /** Writes server-sent events, one for each call of {@link #write}. */
    private static final class Streaming extends ResponseWriter {
        private static final String DONE = "[DONE]";

        private boolean started;

        private Streaming(HttpExchange exchange, CompletionFormat format, String requestId, String model) {
            super(exchange, format, requestId, model);
        }

        @Override
        void write(List<String> tokens) {
            send(super.format.chunk(super.requestId, super.model, String.join("", tokens)));
        }

        @Override
        void complete(ResponseSummary summary) {
            send(super.format.lastChunk(super.requestId, super.model, summary));
            super.exchange.sendEvent(DONE);
            super.exchange.endEvents();
        }

        @Override
        void fail(Refusal refusal) {
            if (started) {
                send(new ErrorResponse(super.requestId, refusal).json());
                super.exchange.endEvents();
            } else {
                super.fail(refusal);
            }
        }

        private void send(String data) {
            if (!started) {
                started = true;
                super.exchange.startEvents(super.headers());
            }
            super.exchange.sendEvent(data);
        }
    }

    /** Collects the tokens and writes one JSON body at the end. */
    private static final class Buffered extends ResponseWriter {
        private final StringBuilder text = new StringBuilder();

        private Buffered(HttpExchange exchange, CompletionFormat format, String requestId, String model) {
            super(exchange, format, requestId, model);
        }

        @Override
        void write(List<String> tokens) {
            tokens.forEach(text::append);
        }

        @Override
        void complete(ResponseSummary summary) {
            String body = super.format.completion(super.requestId, super.model, text.toString(), summary);
            super.exchange.respond(200, HttpExchange.JSON, body, super.headers());
        }
    }
}
