package org.geraniumford.standins.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import org.geraniumford.standins.StandInClient;
import org.geraniumford.standins.StandInClient.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PlatformContractTest {
    private static final String DIGEST_OF_BLOB = "fa2c8cc4f28176bbeed4b736df569a34c79cd3723e9ec42f9674b4d46ac6b8b8";
    private static final String HOST_JSON =
            "{'kind':'runner','address':'127.0.0.1:1','failure_domain':'kigali-1','state':'%s'}".replace('\'', '"');

    private final PlatformStandIn platform = PlatformStandIn.start(PlatformOptions.ofDefaults());
    private final StandInClient client = new StandInClient(platform.uri());

    @AfterEach
    void stop() {
        platform.close();
    }

    /** Status 0 is {@link StandInClient#CONNECTION_LOST}. */
    @ParameterizedTest
    @CsvSource({
        "{},                                200, true",
        "{\"outage\":true},                 503, false",
        "{\"lose_replies\":1},              0,   true",
        "{\"lose_requests\":1},             0,   false",
        "{\"lose_reply_fraction\":1.0},     0,   true",
        "{\"slow_millis\":1},               200, true",
    })
    void shouldReturnTheExpectedStatusAndApplyOrLoseTheWriteWhenAFaultIsInjected(
            String fault, int status, boolean applied) {
        client.post("/faults", fault);
        assertThat(client.post("/tables", write("head", 0, "one")).status()).isEqualTo(status);
        client.post("/faults", "{\"outage\":false}");
        assertThat(client.get("/tables/t/head").status()).isEqualTo(applied ? 200 : 404);
    }

    @Test
    void shouldLoseOnlyTheNextResponsesWhenTheirNumberIsSet() {
        platform.inject(PlatformFaults.lostResponses(1));
        assertThat(client.post("/tables", write("a", 0, "one")).status()).isEqualTo(StandInClient.CONNECTION_LOST);
        assertThat(client.post("/tables", write("a", 0, "two")).status()).isEqualTo(409);
        assertThat(client.get("/tables/t/a").json().get("value").asText()).isEqualTo("one");
    }

    @Test
    void shouldChangeNothingWhenOneOperationOfATransactionConflicts() {
        client.post("/tables", write("a", 0, "one"));
        Response response = client.post("/tables", transaction(operation("b", 0, "x"), operation("a", 0, "y")));
        assertThat(response.status()).isEqualTo(409);
        JsonNode conflict = response.json().get("conflicts").get(0);
        assertThat(conflict.get("row").asText()).isEqualTo("a");
        assertThat(conflict.get("value").asText()).isEqualTo("one");
        assertThat(client.get("/tables/t/b").status()).isEqualTo(404);
        assertThat(client.get("/tables/t/a").json().get("value").asText()).isEqualTo("one");
    }

    /** A reused version would let a transaction that expects the deleted row overwrite the new one. */
    @Test
    void shouldNeverReuseAVersionWhenARowIsDeletedAndWrittenAgain() {
        long first = version(client.post("/tables", write("a", 0, "one")));
        client.post("/tables", transaction("{\"table\":\"t\",\"row\":\"a\",\"expect\":" + first + "}"));
        assertThat(client.get("/tables/t/a").status()).isEqualTo(404);
        assertThat(version(client.post("/tables", write("a", 0, "two")))).isGreaterThan(first);
        assertThat(client.post("/tables", write("a", first, "three")).status()).isEqualTo(409);
    }

    @Test
    void shouldListRowsInOrderAfterTheGivenRowWhenALimitIsSet() {
        client.post("/tables", transaction(operation("c", 0, "x"), operation("a", 0, "x"), operation("b", 0, "x")));
        JsonNode rows = client.get("/tables/t?after=a&limit=1").json().get("rows");
        assertThat(rows).hasSize(1);
        assertThat(rows.get(0).get("row").asText()).isEqualTo("b");
    }

    @ParameterizedTest
    @CsvSource({DIGEST_OF_BLOB + ", 200", "00, 400"})
    void shouldStoreObjectsOnlyWhenTheDigestMatches(String digest, int status) {
        assertThat(client.call("PUT", "/objects/" + digest, "blob").status()).isEqualTo(status);
        assertThat(client.get("/objects/" + digest).status()).isEqualTo(status == 200 ? 200 : 404);
    }

    @Test
    void shouldListHostsWithoutLaterChangesWhenTheListIsStale() {
        client.call("PUT", "/hosts/runner-1", HOST_JSON.formatted("live"));
        assertThat(state("runner-1")).isEqualTo("live");
        client.post("/faults", "{\"stale_hosts\":true}");
        client.call("PUT", "/hosts/runner-1", HOST_JSON.formatted("leaving"));
        assertThat(state("runner-1")).isEqualTo("live");
        client.post("/faults", "{\"stale_hosts\":false}");
        assertThat(state("runner-1")).isEqualTo("leaving");
    }

    @Test
    void shouldReturnTheDigestWhenWeightsAreFetched() {
        assertThat(client.post("/weights/model-2/fetch", "")
                        .json()
                        .get("weights_digest")
                        .asText())
                .hasSize(64);
    }

    private String state(String host) {
        JsonNode first = client.get("/hosts").json().get("hosts").get(0);
        assertThat(first.get("name").asText()).isEqualTo(host);
        return first.get("state").asText();
    }

    private static long version(Response response) {
        return response.json().get("versions").get(0).asLong();
    }

    private static String write(String row, long expect, String value) {
        return transaction(operation(row, expect, value));
    }

    private static String transaction(String... operations) {
        return "{\"operations\":[" + String.join(",", operations) + "]}";
    }

    private static String operation(String row, long expect, String value) {
        return "{\"table\":\"t\",\"row\":\"%s\",\"expect\":%d,\"value\":\"%s\"}".formatted(row, expect, value);
    }
}
