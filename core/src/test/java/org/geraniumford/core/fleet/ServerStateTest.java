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

    private static BackendServer listing(int weightsVersion) {
        return new BackendServer(
                "engine", 1, "service", "10.0.0.1:80", "here", 8, false, Map.of("model", weightsVersion));
    }

    @Test
    void shouldKeepTheCacheEstimateWhenTheSameWeightsAreObservedAgain() {
        state.cache().recordPrefilled(SEGMENTS);
        state.updateServer(listing(1));
        state.recordWeightsVersion("model", 1);
        assertThat(state.cache().cachedTokens(SEGMENTS)).isEqualTo(2520);
        state.recordWeightsVersion("model", 2);
        assertThat(state.cache().cachedTokens(SEGMENTS)).isZero();
    }

    @Test
    void shouldReturnLoadingUntilNewerWeightsAreObserved() {
        state.markLoading(1000);
        state.recordWeightsVersion("model", 1);
        assertThat(state.isLoading(0)).isTrue();
        state.recordWeightsVersion("model", 2);
        assertThat(state.isLoading(0)).isFalse();
    }

    /**
     * Guards against an estimate without capacity. At the start of an entry the server list may be read before the
     * configuration that contains the engines' specs.
     */
    @Test
    void shouldEstimateCachedTokensWhenTheEngineSpecIsAppliedAfterTheListing() {
        ServerState withoutSpec = ServerState.of(listing(1), Optional.empty());
        withoutSpec.applyEngineSpec(Optional.of(new EngineSpec(8, 100_000, false)));
        withoutSpec.cache().recordPrefilled(SEGMENTS);
        assertThat(withoutSpec.cache().cachedTokens(SEGMENTS)).isEqualTo(2520);
    }
}
