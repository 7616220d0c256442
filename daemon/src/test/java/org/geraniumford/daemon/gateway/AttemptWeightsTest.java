package org.geraniumford.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.DefaultEventLoop;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import org.geraniumford.core.fleet.BackendServer;
import org.geraniumford.core.fleet.SegmentScope;
import org.geraniumford.core.limits.QuotaTolerance;
import org.geraniumford.core.prompt.PromptSpec;
import org.geraniumford.core.service.Route;
import org.geraniumford.core.service.RouteKind;
import org.geraniumford.core.service.SharingGroup;
import org.geraniumford.core.service.WeightedService;
import org.geraniumford.core.time.SharedClock;
import org.geraniumford.core.weights.PublishedWeights;
import org.geraniumford.transport.forward.ResponseMemory;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests until when a request may be sent to, and begin on, an engine whose weights were replaced. */
final class AttemptWeightsTest {
    private static final Duration MAX_STALENESS = Duration.ofSeconds(8);
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private long nowMillis = 1000;
    private final GatewayState state = GatewayState.of("here", SharedClock.of(() -> nowMillis * NANOS_PER_MILLI));
    private final Gateway gateway = Gateway.of(
            loop,
            state,
            (GatewayProtocol) Proxy.newProxyInstance(
                    getClass().getClassLoader(), new Class<?>[] {GatewayProtocol.class}, (proxy, method, args) -> null),
            new GatewayLimits(
                    0.2, Duration.ofSeconds(10), 100, MAX_STALENESS, Duration.ofSeconds(8), QuotaTolerance.DEFAULT),
            GatewayMetrics.of(new SimpleMeterRegistry()),
            PromptQuarantine.of("host", new SimpleMeterRegistry()),
            ResponseMemory.ofHeap(),
            new Random(1));

    @AfterEach
    void stop() {
        loop.shutdownGracefully();
    }

    private AttemptWeights attempt(Optional<PromptSpec> prompt, OptionalInt version) {
        InboundRequest request = new InboundRequest(
                "id", "host", "/path/", Optional.empty(), Optional.empty(), prompt, Optional.empty());
        Route route = new Route(
                "route",
                "host",
                "/path/",
                RouteKind.STREAMING,
                true,
                false,
                Duration.ofSeconds(5),
                Duration.ofMillis(100),
                1,
                2,
                List.of(new WeightedService("engines", 1)));
        AdmittedRequest admitted =
                new AdmittedRequest(request, route, "engines", Optional.empty(), Duration.ofSeconds(5), 1);
        BackendServer server = new BackendServer("engine", 1, "engines", "10.0.0.1:80", "here", 8, false, Map.of());
        Dispatch dispatch = new Dispatch(
                server,
                Duration.ofSeconds(5),
                Optional.empty(),
                1,
                prompt.map(spec -> new EngineDispatch(
                        new SegmentScope(SharingGroup.ofAllExcept(Set.of()), "1"),
                        version,
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty())),
                Optional.empty());
        return AttemptWeights.of(gateway, admitted, dispatch);
    }

    private static Optional<PromptSpec> prompt() {
        return Optional.of(new PromptSpec("model", 300, 20, List.of()));
    }

    private void publishVersionTwo() {
        state.recordPublishedWeights(new PublishedWeights("model", 2, 1000, 0, true), "store");
    }

    /** Guards against a request that waited for its connection and is sent on weights that became too old meanwhile. */
    @Test
    void shouldNotBeSentWhenItsWeightsBecameTooOldWhileItWaitedForAConnection() {
        AttemptWeights attempt = attempt(prompt(), OptionalInt.of(1));
        publishVersionTwo();
        nowMillis = 7000;
        assertThat(attempt.maySend()).isTrue();
        nowMillis = 7001;
        assertThat(attempt.maySend()).isFalse();
        assertThat(attempt.mayBegin()).isTrue();
    }

    @Test
    void shouldNotBeginWhenLessThanTheMarginIsLeftUntilTheBound() {
        AttemptWeights attempt = attempt(prompt(), OptionalInt.of(1));
        publishVersionTwo();
        nowMillis = 8000;
        assertThat(attempt.mayBegin()).isTrue();
        nowMillis = 8001;
        assertThat(attempt.mayBegin()).isFalse();
    }

    @Test
    void shouldNotBeginOnWeightsOfUnknownVersionWhenAnyVersionIsTooOld() {
        AttemptWeights attempt = attempt(prompt(), OptionalInt.empty());
        assertThat(attempt.mayBegin()).isTrue();
        publishVersionTwo();
        nowMillis = 8001;
        assertThat(attempt.mayBegin()).isFalse();
    }

    @Test
    void shouldBeginWhenTheEngineAnswersWithNewerWeightsThanAssumed() {
        AttemptWeights attempt = attempt(prompt(), OptionalInt.of(1));
        publishVersionTwo();
        nowMillis = 9001;
        attempt.applyResponse(2);
        assertThat(attempt.mayBegin()).isTrue();
    }

    @Test
    void shouldAlwaysBeginWhenTheRequestHasNoPrompt() {
        AttemptWeights attempt = attempt(Optional.empty(), OptionalInt.empty());
        publishVersionTwo();
        nowMillis = 100_000;
        assertThat(attempt.maySend()).isTrue();
        assertThat(attempt.mayBegin()).isTrue();
    }
}
