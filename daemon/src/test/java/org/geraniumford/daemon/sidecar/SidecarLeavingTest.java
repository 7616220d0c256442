package org.geraniumford.daemon.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import org.asynchttpclient.AsyncHttpClient;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.Message;
import org.geraniumford.daemon.settings.SidecarSettings;
import org.geraniumford.standins.platform.PlatformOptions;
import org.geraniumford.standins.platform.PlatformStandIn;
import org.geraniumford.standins.service.ServiceOptions;
import org.geraniumford.standins.service.ServiceStandIn;
import org.geraniumford.transport.engine.BackendHttpClients;
import org.junit.jupiter.api.Test;

/**
 * Guards against a sidecar that accepts work while its host is listed as leaving, or refuses it once the host is back.
 */
final class SidecarLeavingTest {
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    @Test
    void shouldRefuseNewWorkOnlyWhenPlatformListsHostAsLeaving() throws IOException {
        try (PlatformStandIn platform =
                        PlatformStandIn.start(PlatformOptions.ofDefaults().withHostListLagMillis(0));
                ServiceStandIn service = ServiceStandIn.start(ServiceOptions.ofDefaults());
                AsyncHttpClient http = BackendHttpClients.create(1);
                SidecarDaemon sidecar = SidecarDaemon.start(new SidecarSettings(
                                "ballots-1",
                                "addis-a",
                                ANY_PORT,
                                ANY_PORT,
                                platform.uri(),
                                List.of(),
                                service.uri(),
                                "ballots"))
                        .join();
                LinkClient client = LinkClient.connect(sidecar.linkAddress())) {
            client.next(Message.SidecarState.class, state -> state.backendIncarnation() != 0 && !state.leaving());
            listHost(http, platform, "leaving");
            client.next(Message.SidecarState.class, Message.SidecarState::leaving);
            client.send(statusCall("r1"));
            Refusal refusal = client.next(Message.Refused.class).refusal();
            assertThat(refusal.reason()).isEqualTo(Reason.LEAVING);
            assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
            listHost(http, platform, "live");
            client.next(Message.SidecarState.class, state -> !state.leaving());
            client.send(statusCall("r2"));
            assertThat(client.next(Message.CallResponse.class).id().requestId()).isEqualTo("r2");
        }
    }

    private static void listHost(AsyncHttpClient http, PlatformStandIn platform, String state) {
        String body = "{\"kind\":\"service\",\"address\":\"127.0.0.1:1\",\"failure_domain\":\"addis-a\",\"state\":\""
                + state + "\"}";
        int statusCode = http.preparePut(platform.uri() + "/hosts/ballots-1")
                .setBody(body)
                .execute()
                .toCompletableFuture()
                .join()
                .getStatusCode();
        assertThat(statusCode).isBetween(200, 299);
    }

    private static Message.Call statusCall(String request) {
        return new Message.Call(new AttemptId(request, 1), "", 0, "GET", "/status/b1", "", "", 5_000_000);
    }
}
