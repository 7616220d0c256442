package org.geraniumford.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

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
import org.junit.jupiter.api.Test;

final class GatewayStateTest {
    private static final List<ScopedSegment> SEGMENTS = List.of(new ScopedSegment(7, 2520));

    private static final String CACHE_STORE = "10.0.0.9:80";

    private final GatewayState state = GatewayState.empty("here");

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

    /**
     * Guards against losing the engine's capacity at startup, when the server list may arrive before the configuration.
     */
    @Test
    void shouldReturnKvCapacityWhenServerListPrecedesConfiguration() {
        ServerState server = registerServer();
        state.applyConfiguration(table(1), "test");
        server.cache().recordPrefilled(SEGMENTS);
        assertThat(server.kvCapacityTokens()).isEqualTo(100_000);
        assertThat(server.cache().cachedTokens(SEGMENTS)).isEqualTo(2520);
    }

    @Test
    void shouldKeepConfigurationInForceWhenOlderOneIsApplied() {
        assertThat(state.applyConfiguration(table(2), "test")).isTrue();
        assertThat(state.applyConfiguration(table(1), "test")).isFalse();
        assertThat(state.routingTable()).map(RoutingTable::version).hasValue(2L);
    }

    @Test
    void shouldClearSavedSegmentsWhenCacheStoreIsLost() {
        state.applyConfiguration(tableWithCacheStore(), "test");
        state.cacheStores().recordSaved(CACHE_STORE, SEGMENTS, 0);
        assertThat(state.cacheStores().isSaveDue(SEGMENTS, 0)).isFalse();
        state.setCacheStoreAvailable(CACHE_STORE, false);
        state.setCacheStoreAvailable(CACHE_STORE, true);
        assertThat(state.cacheStores().isSaveDue(SEGMENTS, 0)).isTrue();
    }
}
