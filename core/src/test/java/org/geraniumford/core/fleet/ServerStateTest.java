package org.geraniumford.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumford.core.prompt.PromptSegment;
import org.geraniumford.core.service.EngineSpec;
import org.junit.jupiter.api.Test;

final class ServerStateTest {
    private static final List<ScopedSegment> SEGMENTS =
            List.of(ScopedSegment.of("scope", new PromptSegment("house", 2520)));

    private final ServerState state = ServerState.of(listing(1), Optional.of(new EngineSpec(8, 100_000, false)));

    private static BackendServer listing(int weights) {
        return new BackendServer("engine", 1, "service", "10.0.0.1:80", "here", 8, false, Map.of("model", weights));
    }

    @Test
    void shouldKeepTheBeliefAboutItsCacheWhenItTellsOfTheSameWeightsAgain() {
        state.cache().recordPrefilled(SEGMENTS);
        state.updateServer(listing(1));
        state.recordWeightsVersion("model", 1);
        assertThat(state.cache().cachedTokens(SEGMENTS)).isEqualTo(2520);
        state.recordWeightsVersion("model", 2);
        assertThat(state.cache().cachedTokens(SEGMENTS)).isZero();
    }

    @Test
    void shouldCountAsLoadingUntilItTellsOfNewerWeights() {
        state.markLoading(1000);
        state.recordWeightsVersion("model", 1);
        assertThat(state.isLoading(0)).isTrue();
        state.recordWeightsVersion("model", 2);
        assertThat(state.isLoading(0)).isFalse();
    }

    /** The load of a start: the list of servers may be read before the configuration that tells of engines. */
    @Test
    void shouldRememberWhatItCachedWhenItsSizeIsKnownAfterItsListing() {
        ServerState early = ServerState.of(listing(1), Optional.empty());
        early.applyEngineSpec(Optional.of(new EngineSpec(8, 100_000, false)));
        early.cache().recordPrefilled(SEGMENTS);
        assertThat(early.cache().cachedTokens(SEGMENTS)).isEqualTo(2520);
    }
}
