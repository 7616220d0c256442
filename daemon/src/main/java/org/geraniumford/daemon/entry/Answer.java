package org.geraniumford.daemon.entry;

import java.util.List;
import java.util.Map;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.transport.http.HttpExchange;

/** The way of one model answer to its caller. Used by one thread. */
abstract class Answer {
    private final HttpExchange exchange;
    private final AnswerFormat format;
    private final String requestId;
    private final String model;

    private Answer(HttpExchange exchange, AnswerFormat format, String requestId, String model) {
        this.exchange = exchange;
        this.format = format;
        this.requestId = requestId;
        this.model = model;
    }

    // -- construction

    static Answer of(HttpExchange exchange, AnswerFormat format, String requestId, CallerRequest request) {
        return request.stream()
                ? new Streamed(exchange, format, requestId, request.model())
                : new Whole(exchange, format, requestId, request.model());
    }

    // -- commands

    /** Passes on the next tokens. */
    abstract void tokens(List<String> tokens);

    /** Ends a complete answer. */
    abstract void complete(AnswerSummary summary);

    /** Ends the answer with an error. */
    void fail(Refusal refusal) {
        new ErrorAnswer(requestId, refusal).sendTo(exchange);
    }

    // -- queries

    HttpExchange exchange() {
        return exchange;
    }

    private Map<String, String> fields() {
        return Map.of(ErrorAnswer.REQUEST_ID, requestId);
    }

    /** Server-sent events, one for each run of tokens. */
    private static final class Streamed extends Answer {
        private static final String DONE = "[DONE]";

        private boolean begun;

        private Streamed(HttpExchange exchange, AnswerFormat format, String requestId, String model) {
            super(exchange, format, requestId, model);
        }

        @Override
        void tokens(List<String> tokens) {
            send(super.format.chunk(super.requestId, super.model, String.join("", tokens)));
        }

        @Override
        void complete(AnswerSummary summary) {
            send(super.format.lastChunk(super.requestId, super.model, summary));
            super.exchange.sendEvent(DONE);
            super.exchange.endEvents();
        }

        @Override
        void fail(Refusal refusal) {
            if (begun) {
                send(new ErrorAnswer(super.requestId, refusal).json());
                super.exchange.endEvents();
            } else {
                super.fail(refusal);
            }
        }

        private void send(String data) {
            if (!begun) {
                begun = true;
                super.exchange.startEvents(super.fields());
            }
            super.exchange.sendEvent(data);
        }
    }

    /** One JSON body. */
    private static final class Whole extends Answer {
        private final StringBuilder text = new StringBuilder();

        private Whole(HttpExchange exchange, AnswerFormat format, String requestId, String model) {
            super(exchange, format, requestId, model);
        }

        @Override
        void tokens(List<String> tokens) {
            tokens.forEach(text::append);
        }

        @Override
        void complete(AnswerSummary summary) {
            String body = super.format.whole(super.requestId, super.model, text.toString(), summary);
            super.exchange.respond(200, HttpExchange.JSON, body, super.fields());
        }
    }
}
