package org.geraniumford.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumford.core.fleet.BackendServer;
import org.geraniumford.core.fleet.ScopedSegment;
import org.geraniumford.core.fleet.ServerState;
import org.geraniumford.core.service.CacheStore;
import org.geraniumford.core.service.CallerLimits;
import org.geraniumford.core.service.EngineSpec;
import org.geraniumford.core.service.RoutingTable;
import org.geraniumford.core.service.ServiceDefinition;
import org.geraniumford.core.time.SharedClock;
import org.geraniumford.core.weights.PublishedWeights;
import org.junit.jupiter.api.Test;

final class GatewayStateTest {
    private static final List<ScopedSegment> SEGMENTS = List.of(new ScopedSegment(7, 2520));

    private static final String CACHE_STORE = "10.0.0.9:80";

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final GatewayState state = GatewayState.empty("here");
    private long localMillis;

    private static RoutingTable table(long version) {
        ServiceDefinition engines =
                new ServiceDefinition("engines", 100, Optional.of(new EngineSpec(8, 100_000, false)), Optional.empty());
        return RoutingTable.of(version, List.of(), List.of(engines), List.of(), CallerLimits.DEFAULT);
    }

    private static RoutingTable tableWithCacheStore() {
        ServiceDefinition store =
                new ServiceDefinition("store", 100, Optional.empty(), Optional.of(new CacheStore(CACHE_STORE, "here")));
        return RoutingTable.of(1, List.of(), List.of(store), List.of(), CallerLimits.DEFAULT);
    }

    private ServerState registerServer() {
        state.directory()
                .register(
                        new BackendServer("engine", 1, "engines", "10.0.0.1:80", "here", 8, false, Map.of("model", 1)));
        return state.directory().find("engine").orElseThrow();
    }

    /** Guards against requests on replaced weights after all entries were suspended: the local clock stood still. */
    @Test
    void shouldCountTheAgeOfWeightsThroughASuspensionWhenTheSharedClockIsReadAgain() {
        localMillis = 5000;
        GatewayState suspended = GatewayState.of("here", SharedClock.of(() -> localMillis * NANOS_PER_MILLI));
        suspended.observeSharedClock(100_000);
        suspended.recordPublishedWeights(new PublishedWeights("model", 2, 100_000, 0, true), "store");
        localMillis += 1001;
        assertThat(suspended.oldestAllowedWeights("model", Duration.ofSeconds(6)))
                .isEqualTo(1);
        // The host was suspended for 5.5 s, which its own clock does not count.
        suspended.observeSharedClock(106_500);
        assertThat(suspended.oldestAllowedWeights("model", Duration.ofSeconds(6)))
                .isEqualTo(2);
    }

    /** Guards against an age that counts from the arrival of a peer's message, which a frozen process reads late. */
    @Test
    void shouldKeepTheTimeOfPublicationWhenAnAnnouncementWasLongOnItsWay() {
        GatewayState frozen = GatewayState.of("here", SharedClock.of(() -> localMillis * NANOS_PER_MILLI));
        frozen.observeSharedClock(100_000);
        localMillis += 8000;
        frozen.recordPublishedWeights(new PublishedWeights("model", 2, 101_000, 20, true), "peer");
        assertThat(frozen.oldestAllowedWeights("model", Duration.ofSeconds(6))).isEqualTo(2);
        assertThat(frozen.weightsGossip()).containsExactly(new PublishedWeights("model", 2, 101_000, 7000, true));
    }

    /**
     * Guards against losing the engine's capacity at startup, when the server list may arrive before the configuration.
     */
    @Test
    void shouldReturnKvCapacityWhenServerListPrecedesConfiguration() {
        ServerState server = registerServer();
        state.configuration().apply(table(1), "test");
        server.cache().recordPrefilled(SEGMENTS);
        assertThat(server.kvCapacityTokens()).isEqualTo(100_000);
        assertThat(server.cache().cachedTokens(SEGMENTS)).isEqualTo(2520);
    }

    @Test
    void shouldKeepConfigurationInForceWhenOlderOneIsApplied() {
        assertThat(state.configuration().apply(table(2), "test")).isTrue();
        assertThat(state.configuration().apply(table(1), "test")).isFalse();
        assertThat(state.configuration().routingTable())
                .map(RoutingTable::version)
                .hasValue(2L);
    }

    @Test
    void shouldClearSavedSegmentsWhenCacheStoreIsLost() {
        state.configuration().apply(tableWithCacheStore(), "test");
        state.cacheStores().recordSaved(CACHE_STORE, SEGMENTS, 0);
        assertThat(state.cacheStores().isSaveDue(SEGMENTS, 0)).isFalse();
        state.setCacheStoreAvailable(CACHE_STORE, false);
        state.setCacheStoreAvailable(CACHE_STORE, true);
        assertThat(state.cacheStores().isSaveDue(SEGMENTS, 0)).isTrue();
    }
}
