package org.geraniumford.daemon.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.AttemptTokenState;
import org.geraniumford.core.wire.Message;
import org.geraniumford.daemon.settings.SidecarSettings;
import org.geraniumford.standins.service.ServiceFaults;
import org.geraniumford.standins.service.ServiceOptions;
import org.geraniumford.standins.service.ServiceStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against calls of a plain service that run twice, and against refusals with a wrong verdict. */
final class SidecarServiceTest {
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final URI NO_PLATFORM = URI.create("http://127.0.0.1:1/");
    /** Tokens are issued in the future, so that they count as issued after the sidecar's start. */
    private static final long ISSUE_LEAD_MICROS = TimeUnit.HOURS.toMicros(1);

    private final long issuedMicros = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now()) + ISSUE_LEAD_MICROS;
    private ServiceStandIn service;
    private SidecarDaemon sidecar;
    private LinkClient client;

    @BeforeEach
    void start() {
        service = ServiceStandIn.start(ServiceOptions.ofDefaults());
        sidecar = SidecarDaemon.start(new SidecarSettings(
                        "ballots-1", "addis-a", ANY_PORT, ANY_PORT, NO_PLATFORM, List.of(), service.uri(), "ballots"))
                .join();
        client = LinkClient.connect(sidecar.linkAddress());
        client.next(Message.SidecarState.class, message -> message.backendIncarnation() != 0);
    }

    @AfterEach
    void stop() {
        client.close();
        sidecar.close();
        service.close();
    }

    @Test
    void shouldRunCallOnceWhenTokenArrivesTwice() {
        client.send(ballotCall("r1", 1, "token-a"));
        assertThat(client.next(Message.CallResponse.class).status()).isBetween(200, 299);
        client.send(ballotCall("r1", 2, "token-a"));
        assertThat(client.next(Message.Refused.class).refusal().reason()).isEqualTo(Reason.TOKEN_USED);
        assertThat(service.executions()).containsEntry("b1", 1);
    }

    @Test
    void shouldNeverForwardTokenWhenItWasClosedBefore() {
        client.send(new Message.CloseToken(1, "token-a", issuedMicros));
        assertThat(client.next(Message.CloseTokenResponse.class).state()).isEqualTo(AttemptTokenState.CLOSED);
        client.send(ballotCall("r1", 1, "token-a"));
        assertThat(client.next(Message.Refused.class).refusal().verdict()).isEqualTo(Verdict.NOT_RUN);
        client.send(new Message.CloseToken(2, "token-old", 1));
        assertThat(client.next(Message.CloseTokenResponse.class).state()).isEqualTo(AttemptTokenState.UNKNOWN);
        assertThat(service.executions()).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"1, 0, 0", "0, 1, 1"})
    void shouldRefuseAsMayHaveRunWhenConnectionIsLostAfterWrite(int lostBefore, int lostAfter, int executions) {
        service.inject(new ServiceFaults(null, null, null, lostBefore, lostAfter));
        client.send(ballotCall("r1", 1, "token-a"));
        assertThat(client.next(Message.Refused.class).refusal().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        client.send(new Message.CloseToken(1, "token-a", issuedMicros));
        assertThat(client.next(Message.CloseTokenResponse.class).state()).isEqualTo(AttemptTokenState.PASSED);
        assertThat(service.executions().getOrDefault("b1", 0)).isEqualTo(executions);
    }

    @Test
    void shouldRefuseAsNotRunAndReportDownWhenServiceIsDown() {
        service.close();
        client.next(Message.SidecarState.class, message -> message.backendIncarnation() == 0);
        client.send(ballotCall("r1", 1, "token-a"));
        assertThat(client.next(Message.Refused.class).refusal().verdict()).isEqualTo(Verdict.NOT_RUN);
    }

    @ParameterizedTest
    @CsvSource({"'/bad path', POST", "/ballots, 'PO ST'"})
    void shouldRunOnlyTheNextCallWhenCallCannotBeSent(String path, String method) {
        client.send(new Message.Call(
                new AttemptId("r1", 1), "", 0, method, path, "application/json", "{\"id\":\"b1\"}", 1_000_000));
        client.send(ballotCall("r2", 1, "token-b"));
        assertThat(client.next(
                                Message.CallResponse.class,
                                result -> result.id().requestId().equals("r2"))
                        .status())
                .isBetween(200, 299);
        assertThat(service.executions()).containsOnlyKeys("b1").containsEntry("b1", 1);
    }

    private Message.Call ballotCall(String request, int attempt, String token) {
        return new Message.Call(
                new AttemptId(request, attempt),
                token,
                issuedMicros,
                "POST",
                "/ballots",
                "application/json",
                "{\"id\":\"b1\"}",
                5_000_000);
    }
}
