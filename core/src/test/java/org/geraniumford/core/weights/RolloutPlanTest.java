package org.geraniumford.core.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

final class RolloutPlanTest {
    private static final List<RolloutCandidate> OUTDATED = List.of(
            new RolloutCandidate("a1", "a", 1, 9),
            new RolloutCandidate("a2", "a", 1, 0),
            new RolloutCandidate("a3", "a", 1, 1),
            new RolloutCandidate("b1", "b", 1, 5),
            new RolloutCandidate("c1", "c", 1, 7));

    @Test
    void shouldDistributeOverFailureDomainsAndSelectIdleServersFirst() {
        assertThat(RolloutPlan.selectServers(OUTDATED, List.of(), 8))
                .extracting(RolloutCandidate::server)
                .containsExactly("a2", "b1", "c1", "a3");
    }

    @Test
    void shouldSelectNoServerWhenHalfAreLoading() {
        assertThat(RolloutPlan.selectServers(OUTDATED, List.of("a", "b", "c", "b"), 8))
                .isEmpty();
    }

    @Test
    void shouldSelectOneServerWhenThereAreOnlyTwo() {
        assertThat(RolloutPlan.selectServers(OUTDATED.subList(0, 2), List.of(), 2))
                .extracting(RolloutCandidate::server)
                .containsExactly("a2");
    }

    /** Guards against starving a busy server of newer weights while versions are published every few seconds. */
    @Test
    void shouldSelectOldestWeightsFirstWhenTheirServerIsBusy() {
        List<RolloutCandidate> outdated = List.of(
                new RolloutCandidate("idle", "a", 2, 0),
                new RolloutCandidate("busy", "a", 1, 50),
                new RolloutCandidate("elsewhere", "b", 2, 0));
        assertThat(RolloutPlan.selectServers(outdated, List.of("a"), 4))
                .extracting(RolloutCandidate::server)
                .containsExactly("busy");
    }
}
