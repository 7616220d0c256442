package org.geraniumford.core.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

final class RolloutPlanTest {
    private static final List<RolloutCandidate> OUTDATED = List.of(
            new RolloutCandidate("a1", "a", 9),
            new RolloutCandidate("a2", "a", 0),
            new RolloutCandidate("a3", "a", 1),
            new RolloutCandidate("b1", "b", 5),
            new RolloutCandidate("c1", "c", 7));

    @Test
    void shouldSpreadOverFailureDomainsAndBeginWithTheIdle() {
        assertThat(RolloutPlan.next(OUTDATED, List.of(), 9))
                .extracting(RolloutCandidate::server)
                .containsExactly("a2", "b1", "c1");
    }

    @Test
    void shouldReturnNothingWhenAThirdIsLoading() {
        assertThat(RolloutPlan.next(OUTDATED, List.of("a", "b", "c"), 9)).isEmpty();
    }

    @Test
    void shouldReturnOneWhenThereAreOnlyTwo() {
        assertThat(RolloutPlan.next(OUTDATED.subList(0, 2), List.of(), 2))
                .extracting(RolloutCandidate::server)
                .containsExactly("a2");
    }
}
