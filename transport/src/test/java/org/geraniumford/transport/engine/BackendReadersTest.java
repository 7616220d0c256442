package org.geraniumford.transport.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.geraniumford.core.cache.CacheEvent;
import org.geraniumford.core.prefix.CacheScope;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.RefusalException;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.platform.PlatformClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against responses that are broken off and count as complete, and against responses without end: of model
 * engines, plain services and the platform, in the product's own protocols.
 */
final class BackendReadersTest {
    private static final String CLOSE_DELIMITED = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n";
    private static final String TOKEN = "data: {\"kind\":\"token\",\"offset\":0,\"text\":\"a\",\"incarnation\":1,"
            + "\"weights_digest\":\"w\"}\n\n";
    private static final String END =
            "data: {\"kind\":\"end\",\"finish_reason\":\"stop\",\"offset\":1,\"prompt_tokens\":1,\"cached_tokens\":0}";
    private static final String CACHE_EVENT =
            "data: {\"incarnation\":1,\"sequence\":%d,\"kind\":\"stored\",\"keys\":[]}";

    private final AsyncHttpClient http = BackendHttpClients.create(1);
    private final AsyncHttpClient platformHttp = Dsl.asyncHttpClient(PlatformClient.httpClientConfiguration());
    private RawServer server;

    @AfterEach
    void close() throws IOException {
        server.close();
        http.close();
        platformHttp.close();
    }

    private EngineClient engine(String response) throws IOException {
        server = RawServer.sending(response);
        return EngineClient.of(server.uri(), http);
    }

    private EngineClient endlessEngine(String start, String repeated) throws IOException {
        server = RawServer.sendingWithoutEnd(start, repeated);
        return EngineClient.of(server.uri(), http);
    }

    private void assertConnectionClosedEarly() throws Exception {
        assertThat(server.written().get(20, TimeUnit.SECONDS)).isLessThan(RawServer.maxWrittenBytes());
    }

    private static Refusal refusalOf(CompletableFuture<?> call) {
        try {
            call.get(20, TimeUnit.SECONDS);
            throw new AssertionError("the call succeeded");
        } catch (Exception e) {
            assertThat(e).hasCauseInstanceOf(RefusalException.class);
            return ((RefusalException) e.getCause()).refusal();
        }
    }

    // -- completions

    /** Records what a completion delivers, and the failure once there is one. */
    private static final class Recorder implements CompletionListener {
        private final List<CompletionEvent> events = new ArrayList<>();
        private final CompletableFuture<Refusal> failure = new CompletableFuture<>();

        @Override
        public void received(List<CompletionEvent> received) {
            events.addAll(received);
        }

        @Override
        public void failed(Refusal refusal) {
            failure.complete(refusal);
        }
    }

    private static Recorder run(EngineClient engine) {
        Recorder recorder = new Recorder();
        engine.run(
                new EngineRequest("id", "model", new CacheScope("customer", "w", ""), "prompt", List.of(), 0, 4, 0),
                recorder);
        return recorder;
    }

    @ParameterizedTest
    @ValueSource(strings = {"", END, END + "\n", "data: {\"kind\":\"en"})
    void shouldFailACompletionWhoseConnectionEndsBeforeItsLastEventIsWhole(String last) throws Exception {
        Recorder recorder = run(engine(CLOSE_DELIMITED + TOKEN + last));
        Refusal refusal = recorder.failure.get(20, TimeUnit.SECONDS);
        assertThat(refusal.reason()).isEqualTo(Reason.STREAM_BROKEN);
        assertThat(refusal.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        assertThat(recorder.events).hasSize(1);
    }

    @Test
    void shouldCloseTheConnectionOfACompletionWhoseEventDoesNotEnd() throws Exception {
        Recorder recorder = run(endlessEngine(CLOSE_DELIMITED + "data: ", "x".repeat(8192)));
        assertThat(recorder.failure.get(20, TimeUnit.SECONDS).reason()).isEqualTo(Reason.STREAM_BROKEN);
        assertConnectionClosedEarly();
    }

    @Test
    void shouldCloseTheConnectionOfACompletionWhoseErrorDoesNotEnd() throws Exception {
        Recorder recorder = run(endlessEngine("HTTP/1.1 500 Failed\r\n\r\n", "x".repeat(8192)));
        assertThat(recorder.failure.get(20, TimeUnit.SECONDS).reason()).isEqualTo(Reason.BACKEND_FAILED);
        assertConnectionClosedEarly();
    }

    // -- queries and orders

    @ParameterizedTest
    @ValueSource(strings = {"", "{", "{\"incarnation\":1,\"model_version\":\"v\",\"weights_digest\":\"w\",\"event_seq"})
    void shouldFailQueriesAndOrdersWhoseResponseIsBrokenOff(String body) throws Exception {
        EngineClient engine = engine(CLOSE_DELIMITED + body);
        assertThat(refusalOf(engine.state()).verdict()).isEqualTo(Verdict.NOT_RUN);
        assertThat(refusalOf(engine.cacheSnapshot()).verdict()).isEqualTo(Verdict.NOT_RUN);
        assertThat(refusalOf(engine.order(new EngineOrder(1, 1, "v", "w"))).verdict())
                .isEqualTo(Verdict.MAY_HAVE_RUN);
    }

    @Test
    void shouldCloseTheConnectionOfAQueryWhoseResponseDoesNotEnd() throws Exception {
        assertThat(refusalOf(endlessEngine(CLOSE_DELIMITED, "x".repeat(8192)).state())
                        .detail())
                .contains("ResponseTooLargeException");
        assertConnectionClosedEarly();
    }

    // -- cache events

    @Test
    void shouldDeliverOnlyWholeCacheEventsWhenTheirConnectionEndsWithinOne() throws Exception {
        List<CacheEvent> events = new ArrayList<>();
        engine(CLOSE_DELIMITED + CACHE_EVENT.formatted(1) + "\n\n" + CACHE_EVENT.formatted(2) + "\n")
                .followCacheEvents(0, events::add)
                .get(20, TimeUnit.SECONDS);
        assertThat(events).extracting(CacheEvent::sequence).containsExactly(1L);
    }

    @Test
    void shouldCloseTheConnectionOfCacheEventsWhenOneDoesNotEnd() throws Exception {
        CompletableFuture<Void> following =
                endlessEngine(CLOSE_DELIMITED + "data: ", "x".repeat(8192)).followCacheEvents(0, event -> {});
        assertThatThrownBy(following::join).isInstanceOf(CompletionException.class);
        assertConnectionClosedEarly();
    }

    // -- plain services

    private static Message.Call call() {
        return new Message.Call(new AttemptId("id", 1), "token", 0, "GET", "/x", "", "", 10_000_000);
    }

    @Test
    void shouldFailACallWhoseResponseIsShorterThanItsLength() throws Exception {
        server = RawServer.sending("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
        Refusal refusal = refusalOf(ServiceClient.of(server.uri(), http).forward(call()));
        assertThat(refusal.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
    }

    /** The server closes with most of the request unread, which resets the connection while the client writes. */
    @Test
    void shouldFailACallWhoseResponseWithoutALengthIsResetWhileTheRequestIsWritten() throws Exception {
        server = RawServer.sendingAndClosingLater(CLOSE_DELIMITED + "half");
        Message.Call longCall = new Message.Call(
                new AttemptId("id", 1), "token", 0, "POST", "/x", "text/plain", "b".repeat(4_000_000), 10_000_000);
        Refusal refusal = refusalOf(ServiceClient.of(server.uri(), http).forward(longCall));
        assertThat(refusal.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
    }

    @Test
    void shouldCloseTheConnectionOfACallWhoseResponseDoesNotEnd() throws Exception {
        server = RawServer.sendingWithoutEnd(CLOSE_DELIMITED, "x".repeat(8192));
        Refusal refusal = refusalOf(ServiceClient.of(server.uri(), http).forward(call()));
        assertThat(refusal.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        assertConnectionClosedEarly();
    }

    // -- the platform

    @ParameterizedTest
    @ValueSource(strings = {"", "{\"rows\":[", "{}"})
    void shouldFailAPlatformCallWhoseResponseIsBrokenOff(String body) throws Exception {
        server = RawServer.sending(CLOSE_DELIMITED + body);
        refusalOf(PlatformClient.of(server.uri(), platformHttp).rows("table", "", 10));
    }

    @Test
    void shouldCloseTheConnectionOfAPlatformCallWhoseResponseDoesNotEnd() throws Exception {
        server = RawServer.sendingWithoutEnd(CLOSE_DELIMITED, "x".repeat(8192));
        refusalOf(PlatformClient.of(server.uri(), platformHttp).rows("table", "", 10));
        assertConnectionClosedEarly();
    }
}
