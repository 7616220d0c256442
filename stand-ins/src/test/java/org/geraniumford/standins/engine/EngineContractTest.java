package org.geraniumford.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.geraniumford.standins.StandInClient;
import org.geraniumford.standins.StandInClient.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EngineContractTest {
    private static final EngineTiming FAST_TIMING = EngineTiming.ofDefaults().scaled(100);
    /** A decode step takes 60 s, so that a request keeps running until the test stops it. */
    private static final EngineTiming SLOW_DECODE_TIMING = new EngineTiming(0, 0, 60_000_000, 0, 0, 0, 0, 0);

    private static final String ORDER_JSON =
            "{'term':%s,'sequence':%s,'kind':'load_version','value':'model-2','weights_digest':'weights-2'}"
                    .replace('\'', '"');

    private EngineStandIn engine =
            EngineStandIn.start(EngineOptions.ofDefaults().withTiming(FAST_TIMING));
    private StandInClient client = new StandInClient(engine.uri());

    @AfterEach
    void stop() {
        engine.close();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "POST   | /v1/completions   | {        | 400",
                "POST   | /v1/completions   | {}       | 400",
                "POST   | /v1/completions   | null     | 400",
                "GET    | /v1/completions   | ''       | 405",
                "DELETE | /v1/requests/none | ''       | 204",
                "GET    | /state            | ''       | 200",
                "GET    | /cache            | ''       | 200",
                "GET    | /events?after=x   | ''       | 400",
                "POST   | /orders           | {}       | 400",
                "GET    | /kv/xyz           | ''       | 400",
                "GET    | /kv/00000000000000000000000000000001 | '' | 404",
                "PUT    | /kv/00000000000000000000000000000001 | {} | 400",
                "POST   | /faults           | {}       | 200",
                "GET    | /elsewhere        | ''       | 404",
            })
    void shouldReturnTheExpectedStatusWhenAPathIsCalled(String method, String path, String body, int status) {
        assertThat(client.call(method, path, body).status()).isEqualTo(status);
    }

    @Test
    void shouldContinueWithTheSameTokensWhenResumed() {
        List<JsonNode> uninterrupted = complete("a", "amahoro", 0, 3, 0);
        List<JsonNode> resumed = complete("a", "amahoro", 0, 3, 2);
        assertThat(kinds(uninterrupted)).containsExactly("started", "token", "token", "token", "token", "end");
        assertThat(kinds(resumed)).containsExactly("started", "token", "token", "end");
        assertThat(resumed.get(1)).isEqualTo(uninterrupted.get(3));
        assertThat(resumed.get(0).get("cached_pieces").asInt()).isEqualTo(3);
        assertThat(resumed.get(3).get("cached_tokens").asInt()).isEqualTo(300);
        assertThat(engine.executions()).containsEntry("a", 2);
    }

    /** The engine does not prevent leaks but counts them, so that tests find block keys shared by two customers. */
    @Test
    void shouldCountLeaksWhenAnotherCustomerUsesTheSameKeys() {
        complete("a", "amahoro", 0, 3, 0);
        complete("b", "rayon", 0, 2, 0);
        assertThat(engine.state().counters()).isEqualTo(new EngineCounters(2, 3, 0, 2, 2));
    }

    @Test
    void shouldRejectRequestsWhenTheWeightsDiffer() {
        Response response =
                client.post("/v1/completions", CompletionFixtures.json("a", "amahoro", "weights-9", 0, 1, 0));
        assertThat(response.status()).isEqualTo(409);
        assertThat(response.json().get("error").asText()).isEqualTo("wrong_weights");
        assertThat(engine.executions()).isEmpty();
    }

    /** The fencing numbers are written as {@code TERM.SEQUENCE}. */
    @ParameterizedTest
    @CsvSource({
        "true,  1.1 1.2 2.1, 200 200 200",
        "true,  2.1 1.9 2.1, 200 409 409",
        "true,  2.2 2.1 3.0, 200 409 200",
        "false, 2.1 1.9 2.1, 200 200 200",
    })
    void shouldRejectOrdersWithOldFencingNumbersOnlyWhenFencingIsChecked(
            boolean checksFencing, String fencingNumbers, String statuses) {
        restart(EngineOptions.ofDefaults().withTiming(FAST_TIMING).withFencing(checksFencing));
        Stream<String> responseStatuses = Arrays.stream(fencingNumbers.split(" "))
                .map(number -> number.split("\\."))
                .map(number -> client.post("/orders", ORDER_JSON.formatted(number[0], number[1])))
                .map(response -> String.valueOf(response.status()));
        assertThat(responseStatuses).containsExactly(statuses.split(" "));
        assertThat(engine.state().weightsDigest()).isEqualTo("weights-2");
    }

    @Test
    void shouldPublishEachChangeInSequenceWhenBlocksAreStoredAndEvicted() {
        restart(EngineOptions.ofDefaults().withTiming(FAST_TIMING).withLimits(3, 4, 4));
        complete("a", "amahoro", 0, 3, 0);
        complete("b", "amahoro", 5, 7, 0);
        try (Stream<JsonNode> events = client.events("/events?after=1")) {
            List<JsonNode> received = events.limit(2).toList();
            assertThat(kinds(received)).containsExactly("stored", "evicted");
            assertThat(received.get(1).get("sequence").asLong()).isEqualTo(3);
            assertThat(received.get(1).get("keys")).hasSize(2);
        }
        JsonNode cache = client.get("/cache").json();
        assertThat(cache.get("event_sequence").asLong()).isEqualTo(3);
        assertThat(cache.get("keys")).hasSize(3);
    }

    /** Subscribers detect lost events by gaps, so a lost event must still use up its sequence number. */
    @Test
    void shouldLeaveGapsInTheSequenceWhenEventsAreLost() {
        client.post("/faults", "{\"event_loss\":1.0}");
        complete("a", "amahoro", 0, 3, 0);
        client.post("/faults", "{\"event_loss\":0.0}");
        complete("b", "amahoro", 5, 7, 0);
        try (Stream<JsonNode> events = client.events("/events?after=0")) {
            assertThat(events.findFirst().orElseThrow().get("sequence").asLong())
                    .isEqualTo(2);
        }
    }

    @Test
    void shouldLoseCacheAndStreamsAndChangeIncarnationWhenTheEngineCrashes() {
        restart(EngineOptions.ofDefaults().withTiming(SLOW_DECODE_TIMING));
        long before = engine.state().incarnation();
        CompletableFuture<Response> running =
                client.postAsync("/v1/completions", CompletionFixtures.json("a", "amahoro", "weights-1", 0, 1, 0));
        awaitExecutions(1);
        client.post("/faults", "{\"crash\":true}");
        assertThat(running.join().status()).isEqualTo(StandInClient.CONNECTION_LOST);
        EngineState after = engine.state();
        assertThat(after.incarnation()).isGreaterThan(before);
        assertThat(after.cachedPieces()).isZero();
        assertThat(after.eventSequence()).isZero();
    }

    @Test
    void shouldEndTheStreamWithoutAnEndEventWhenCancelled() {
        restart(EngineOptions.ofDefaults().withTiming(SLOW_DECODE_TIMING));
        CompletableFuture<Response> running =
                client.postAsync("/v1/completions", CompletionFixtures.json("a", "amahoro", "weights-1", 0, 1, 0));
        awaitExecutions(1);
        assertThat(client.call("DELETE", "/v1/requests/a", "").status()).isEqualTo(204);
        assertThat(kinds(running.join().events())).containsExactly("started");
    }

    @ParameterizedTest
    @CsvSource({"weights-1, 200, 1", "weights-2, 409, 0"})
    void shouldImportBlocksOnlyWhenTheLoadedWeightsComputedThem(String weightsDigest, int status, int cachedBlocks) {
        String block = "{\"customer\":\"amahoro\",\"weights_digest\":\"" + weightsDigest + "\",\"tokens\":100}";
        String path = "/kv/" + CompletionFixtures.keyHex(0);
        assertThat(client.call("PUT", path, block).status()).isEqualTo(status);
        assertThat(client.get(path).status()).isEqualTo(cachedBlocks == 1 ? 200 : 404);
        List<JsonNode> events = complete("a", "amahoro", 0, 2, 0);
        assertThat(events.get(0).get("cached_pieces").asInt()).isEqualTo(cachedBlocks);
    }

    private List<JsonNode> complete(String requestId, String customer, int firstBlock, int endBlock, int resumeOffset) {
        String body = CompletionFixtures.json(requestId, customer, "weights-1", firstBlock, endBlock, resumeOffset);
        return client.post("/v1/completions", body).events();
    }

    private void awaitExecutions(int requests) {
        while (engine.executions().size() < requests) {
            Thread.onSpinWait();
        }
    }

    private void restart(EngineOptions options) {
        engine.close();
        engine = EngineStandIn.start(options);
        client = new StandInClient(engine.uri());
    }

    private static List<String> kinds(List<JsonNode> events) {
        return events.stream().map(event -> event.get("kind").asText()).toList();
    }
}
