package org.geraniumford.transport.engine;

import java.io.IOException;
import java.net.URI;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.asynchttpclient.AsyncHttpClient;
import org.geraniumford.core.prefix.CacheScope;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.platform.PlatformClient;

/** The kinds of calls whose responses are read by AsyncHttpClient. */
enum BackendReader {
    SERVICE("a success") {
        @Override
        CompletableFuture<?> call(URI server, AsyncHttpClient http) {
            Message.Call call = new Message.Call(new AttemptId("id", 1), "token", 0, "GET", "/x", "", "", 10_000_000);
            return ServiceClient.of(server, http).forward(call).thenCompose(BackendReader::successOf);
        }
    },
    STATE("{\"incarnation\":1,\"model_version\":\"v\",\"weights_digest\":\"w\",\"event_sequence\":1}") {
        @Override
        CompletableFuture<?> call(URI server, AsyncHttpClient http) {
            return EngineClient.of(server, http).state();
        }
    },
    ORDER("{\"weights_digest\":\"w\"}") {
        @Override
        CompletableFuture<?> call(URI server, AsyncHttpClient http) {
            return EngineClient.of(server, http).order(new EngineOrder(1, 1, "v", "w"));
        }
    },
    COMPLETION("data: {\"kind\":\"end\",\"finish_reason\":\"stop\",\"offset\":0,\"prompt_tokens\":1,"
            + "\"cached_tokens\":0}\n\n") {
        @Override
        CompletableFuture<?> call(URI server, AsyncHttpClient http) {
            CompletionRecorder recorder = new CompletionRecorder();
            EngineClient.of(server, http)
                    .run(
                            new EngineRequest(
                                    "id", "model", new CacheScope("customer", "w", ""), "prompt", List.of(), 0, 4, 0),
                            recorder);
            return recorder.end;
        }
    },
    ROWS("{\"rows\":[]}") {
        @Override
        CompletableFuture<?> call(URI server, AsyncHttpClient http) {
            return PlatformClient.of(server, http).rows("table", "", 10);
        }
    },
    OBJECT("content") {
        @Override
        CompletableFuture<?> call(URI server, AsyncHttpClient http) {
            return PlatformClient.of(server, http).object("digest").thenCompose(BackendReader::presentOf);
        }
    };

    private static final int OK = 200;

    private final String body;

    BackendReader(String body) {
        this.body = body;
    }

    /** Returns the body of a response with which a call succeeds, if its status allows it. */
    String body() {
        return body;
    }

    /** Makes a call that completes normally only if it was a success. */
    abstract CompletableFuture<?> call(URI server, AsyncHttpClient http);

    private static CompletableFuture<?> successOf(Message.CallResponse response) {
        return response.status() == OK
                ? CompletableFuture.completedFuture(response)
                : CompletableFuture.failedFuture(new IOException("status " + response.status()));
    }

    private static CompletableFuture<?> presentOf(Optional<String> content) {
        return content.isPresent()
                ? CompletableFuture.completedFuture(content)
                : CompletableFuture.failedFuture(new IOException("no content"));
    }

    /** Completes with the last event of a completion. */
    private static final class CompletionRecorder implements CompletionListener {
        private final CompletableFuture<CompletionEvent> end = new CompletableFuture<>();

        @Override
        public void received(List<CompletionEvent> events) {
            events.stream()
                    .filter(event -> event instanceof CompletionEvent.End)
                    .forEach(end::complete);
        }

        @Override
        public void failed(Refusal refusal) {
            end.completeExceptionally(refusal.toException());
        }
    }
}
