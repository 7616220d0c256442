package org.geraniumford.daemon.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.asynchttpclient.AsyncHttpClient;
import org.geraniumford.core.configuration.ConfigurationFile;
import org.geraniumford.core.prefix.CacheScope;
import org.geraniumford.core.prefix.PrefixChain;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.Message;
import org.geraniumford.daemon.configuration.ConfigurationPublisher;
import org.geraniumford.daemon.settings.SidecarSettings;
import org.geraniumford.standins.engine.EngineOptions;
import org.geraniumford.standins.engine.EngineStandIn;
import org.geraniumford.standins.engine.EngineTiming;
import org.geraniumford.standins.platform.PlatformOptions;
import org.geraniumford.standins.platform.PlatformStandIn;
import org.geraniumford.transport.engine.BackendHttpClients;
import org.geraniumford.transport.platform.PlatformClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against responses that are cut off, and against requests that run on weights other than those they name, while
 * the engine loads a new version.
 */
final class SidecarOrdersTest {
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final String OLD_WEIGHTS = "a".repeat(64);
    private static final String NEW_WEIGHTS = "b".repeat(64);
    private static final int TOKENS = 200;
    private static final long MAX_STATUS_REQUESTS = 100_000;

    private PlatformStandIn platform;
    private AsyncHttpClient http;
    private ConfigurationPublisher publisher;

    @BeforeEach
    void start() {
        platform = PlatformStandIn.start(PlatformOptions.ofDefaults());
        http = BackendHttpClients.create(1);
        publisher = ConfigurationPublisher.of(PlatformClient.of(platform.uri(), http));
    }

    @AfterEach
    void stop() throws java.io.IOException {
        http.close();
        platform.close();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void shouldFinishOldResponsesThenServeNewWeightsWhenVersionChanges(boolean checksFencing) {
        publish("draft-1", OLD_WEIGHTS);
        EngineOptions options = EngineOptions.ofDefaults()
                .withModel("draft-1", OLD_WEIGHTS)
                .withFencing(checksFencing)
                .withTiming(EngineTiming.ofDefaults().scaled(5));
        try (EngineStandIn engine = EngineStandIn.start(options);
                SidecarDaemon sidecar = SidecarDaemon.start(new SidecarSettings(
                                "runner-1",
                                "kigali-a",
                                ANY_PORT,
                                ANY_PORT,
                                platform.uri(),
                                List.of(),
                                engine.uri(),
                                ""))
                        .join();
                LinkClient client = LinkClient.connect(sidecar.linkAddress())) {
            client.next(
                    Message.SidecarState.class,
                    message -> message.weightsDigest().equals(OLD_WEIGHTS));
            awaitConfiguration(client);
            client.send(submit("r1", OLD_WEIGHTS, 10));
            client.next(Message.Started.class);
            publish("draft-2", NEW_WEIGHTS);
            client.next(Message.SidecarState.class, Message.SidecarState::leaving);
            client.send(submit("r2", OLD_WEIGHTS, TOKENS));
            assertThat(client.next(Message.Refused.class).refusal().verdict()).isEqualTo(Verdict.NOT_RUN);
            client.send(new Message.Credit(new AttemptId("r1", 1), TOKENS));
            assertThat(client.next(Message.End.class).offset()).isEqualTo(TOKENS);
            client.next(
                    Message.SidecarState.class,
                    message -> message.weightsDigest().equals(NEW_WEIGHTS) && !message.leaving());
            client.send(submit("r3", OLD_WEIGHTS, TOKENS));
            assertThat(client.next(Message.Refused.class).refusal().reason()).isEqualTo(Reason.WRONG_WEIGHTS);
            client.send(submit("r4", NEW_WEIGHTS, TOKENS));
            assertThat(client.next(Message.Started.class).weightsDigest()).isEqualTo(NEW_WEIGHTS);
            assertThat(client.next(Message.End.class).offset()).isEqualTo(TOKENS);
            assertThat(engine.executions()).containsOnlyKeys("r1.1", "r4.1");
        }
    }

    private void publish(String version, String weights) {
        String configurationText = "[model draft]\nversion = " + version + "\nweights_digest = " + weights
                + "\nmax_tokens = 512\n" + "[class check]\nrank = 0\nfirst_token_deadline_ms = 2000\n";
        publisher
                .apply(
                        List.of(ConfigurationFile.of(
                                "00-house.ini", configurationText.getBytes(StandardCharsets.UTF_8))),
                        Optional.empty(),
                        "commit-" + version)
                .join();
    }

    private static void awaitConfiguration(LinkClient client) {
        String json = "";
        for (long id = 1; id < MAX_STATUS_REQUESTS && !json.contains("\"configuration_version\":1"); id++) {
            client.send(new Message.StatusRequest(id));
            json = client.next(Message.StatusResponse.class).json();
        }
        assertThat(json).contains("\"configuration_version\":1");
    }

    private static Message.Submit submit(String request, String weights, int credit) {
        CacheScope scope = new CacheScope("amahoro", weights, "");
        return new Message.Submit(
                new AttemptId(request, 1),
                "draft",
                scope,
                "check",
                0,
                1,
                60_000_000,
                0,
                PrefixChain.of(scope, List.of("prompt"), 50).blocks(),
                "prompt",
                TOKENS,
                0,
                credit);
    }
}
