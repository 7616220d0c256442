package org.geraniumford.standins.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.geraniumford.core.configuration.Sha256;
import org.geraniumford.core.membership.Host;
import org.geraniumford.core.membership.HostKind;
import org.geraniumford.core.membership.HostState;
import org.geraniumford.core.store.TableOperation;
import org.geraniumford.core.store.TableRow;
import org.geraniumford.core.store.TransactionResult;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.RefusalException;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.standins.StandInClient;
import org.geraniumford.transport.platform.PlatformClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks that {@link PlatformClient} and the platform stand-in agree on the HTTP interface of the platform. */
class PlatformClientContractTest {
    private static final String HOST_JSON =
            "{'kind':'runner','address':'127.0.0.1:1','failure_domain':'kigali-a','state':'leaving'}"
                    .replace('\'', '"');
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(200);

    private final PlatformStandIn platform = PlatformStandIn.start(PlatformOptions.ofDefaults());
    private final StandInClient standInClient = new StandInClient(platform.uri());
    private final AsyncHttpClient http = Dsl.asyncHttpClient(PlatformClient.httpClientConfiguration());
    private final PlatformClient client = PlatformClient.of(platform.uri(), http);

    @AfterEach
    void stop() throws IOException {
        http.close();
        platform.close();
    }

    // -- responses

    @Test
    void shouldReturnTheWrittenRowsWhenATransactionCommits() {
        TransactionResult result = client.transact(List.of(
                        TableOperation.insert("t", "a/b c", "\u1218\u1295 \"x\"\n"),
                        TableOperation.insert("t", "b", "y")))
                .join();
        List<Long> versions = ((TransactionResult.Committed) result).versions();
        assertThat(client.row("t", "a/b c").join())
                .contains(new TableRow("a/b c", versions.get(0), "\u1218\u1295 \"x\"\n"));
        assertThat(client.row("t", "none").join()).isEmpty();
        assertThat(client.rows("t", "a/b c", 9).join()).containsExactly(new TableRow("b", versions.get(1), "y"));
    }

    @Test
    void shouldReturnTheConflictingRowWhenATransactionConflicts() {
        client.transact(List.of(TableOperation.insert("t", "a", "x"))).join();
        TransactionResult result = client.transact(
                        List.of(TableOperation.insert("t", "a", "y"), TableOperation.insert("t", "b", "y")))
                .join();
        assertThat(((TransactionResult.Conflicted) result)
                        .conflict("t", "a")
                        .orElseThrow()
                        .value())
                .contains("x");
        assertThat(((TransactionResult.Conflicted) result).conflict("t", "b")).isEmpty();
    }

    @Test
    void shouldReturnStoredObjectsHostsAndWeightsWhenTheyExist() {
        client.putObject(Sha256.hex("blob"), "blob").join();
        assertThat(client.object(Sha256.hex("blob")).join()).contains("blob");
        assertThat(client.object(Sha256.hex("none")).join()).isEmpty();
        standInClient.call("PUT", "/hosts/runner-1", HOST_JSON);
        List<Host> hosts = client.hosts().join();
        while (hosts.isEmpty()) {
            hosts = client.hosts().join();
        }
        assertThat(hosts)
                .containsExactly(new Host("runner-1", HostKind.RUNNER, "127.0.0.1:1", "kigali-a", HostState.LEAVING));
        assertThat(client.fetchWeights("draft-1").join()).isEqualTo(Sha256.hex("draft-1"));
    }

    // -- failures

    /**
     * A verdict of NOT_RUN after a lost response would let the caller execute the write twice. {@code applied} is null
     * where the write is still delayed when the test ends.
     */
    @ParameterizedTest
    @CsvSource({
        "{\"outage\":true},       STORE_UNAVAILABLE, NOT_RUN,      false",
        "{\"lose_replies\":1},    CONNECTION_LOST,   MAY_HAVE_RUN, true",
        "{\"lose_requests\":1},   CONNECTION_LOST,   MAY_HAVE_RUN, false",
        "{\"slow_millis\":60000}, TIMEOUT,           MAY_HAVE_RUN, ",
    })
    void shouldReturnTheVerdictOfAWriteWhenThePlatformFails(
            String fault, Reason reason, Verdict verdict, Boolean applied) {
        standInClient.post("/faults", fault);
        Refusal refusal = refusal(PlatformClient.of(platform.uri(), http, SHORT_TIMEOUT)
                .transact(List.of(TableOperation.insert("t", "a", "x"))));
        assertThat(refusal.reason()).isEqualTo(reason);
        assertThat(refusal.verdict()).isEqualTo(verdict);
        assertThat(refusal.retryAfter()).isPositive();
        if (applied != null) {
            standInClient.post("/faults", "{\"outage\":false}");
            assertThat(client.row("t", "a").join().isPresent()).isEqualTo(applied);
        }
    }

    /** The port stays bound but does not listen, so that no other process can take it while the test runs. */
    @Test
    void shouldReturnNotRunWhenNothingListens() throws IOException {
        try (Socket boundSocket = new Socket()) {
            boundSocket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            URI uri = URI.create("http://127.0.0.1:" + boundSocket.getLocalPort());
            Refusal refusal =
                    refusal(PlatformClient.of(uri, http).transact(List.of(TableOperation.insert("t", "a", "x"))));
            assertThat(refusal.reason()).isEqualTo(Reason.STORE_UNAVAILABLE);
            assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
        }
    }

    @Test
    void shouldReturnNotRunWhenTheRateLimitIsReached() {
        try (PlatformStandIn limitedPlatform =
                PlatformStandIn.start(PlatformOptions.ofDefaults().withRates(1, 1))) {
            PlatformClient limitedClient = PlatformClient.of(limitedPlatform.uri(), http);
            Optional<Refusal> refused = Optional.empty();
            for (int i = 0; refused.isEmpty(); i++) {
                refused = refusalIfFailed(limitedClient.transact(List.of(TableOperation.insert("t", "row-" + i, "x"))));
            }
            assertThat(refused.orElseThrow().verdict()).isEqualTo(Verdict.NOT_RUN);
            assertThat(refused.orElseThrow().reason()).isEqualTo(Reason.STORE_UNAVAILABLE);
        }
    }

    @Test
    void shouldFailWithMayHaveRunWhenTheResponseIsNotFromThePlatform() {
        Refusal refusal = refusal(
                PlatformClient.of(URI.create(platform.uri() + "/tables"), http).hosts());
        assertThat(refusal.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
    }

    private static Refusal refusal(CompletableFuture<?> call) {
        return refusalIfFailed(call).orElseThrow();
    }

    /**
     * Returns the refusal of a call, or empty if the call succeeded. A failure without a refusal gets the verdict RAN,
     * which no test expects.
     */
    private static Optional<Refusal> refusalIfFailed(CompletableFuture<?> call) {
        return Optional.ofNullable(catchThrowable(call::join))
                .map(failure -> RefusalException.refusalOf(failure, Verdict.RAN));
    }
}
