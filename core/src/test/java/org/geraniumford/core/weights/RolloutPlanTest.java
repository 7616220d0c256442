package org.geraniumford.core.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class RolloutPlanTest {
    private static final Duration LOAD_TIME = Duration.ofSeconds(2);
    private static final List<RolloutCandidate> OUTDATED = List.of(
            urgent("a1", "a", 1, 9),
            urgent("a2", "a", 1, 0),
            urgent("a3", "a", 1, 1),
            urgent("b1", "b", 1, 5),
            urgent("c1", "c", 1, 7));

    private static RolloutCandidate urgent(String server, String failureDomain, int version, int running) {
        return new RolloutCandidate(server, failureDomain, version, running, Duration.ZERO);
    }

    private static List<RolloutCandidate> servers(int count, int version, Duration timeLeft) {
        return IntStream.range(0, count)
                .mapToObj(i -> new RolloutCandidate("v" + version + "-" + i, "a", version, 0, timeLeft))
                .toList();
    }

    @Test
    void shouldDistributeOverFailureDomainsAndSelectIdleServersFirst() {
        assertThat(RolloutPlan.selectServers(OUTDATED, List.of(), 8, LOAD_TIME))
                .extracting(RolloutCandidate::server)
                .containsExactly("a2", "b1", "c1", "a3");
    }

    @Test
    void shouldSelectNoServerWhenHalfAreLoading() {
        assertThat(RolloutPlan.selectServers(OUTDATED, List.of("a", "b", "c", "b"), 8, LOAD_TIME))
                .isEmpty();
    }

    @Test
    void shouldSelectOneServerWhenThereAreOnlyTwo() {
        assertThat(RolloutPlan.selectServers(OUTDATED.subList(0, 2), List.of(), 2, LOAD_TIME))
                .extracting(RolloutCandidate::server)
                .containsExactly("a2");
    }

    /** Guards against starving a busy server of newer weights while versions are published every few seconds. */
    @Test
    void shouldSelectOldestWeightsFirstWhenTheirServerIsBusy() {
        List<RolloutCandidate> outdated =
                List.of(urgent("idle", "a", 2, 0), urgent("busy", "a", 1, 50), urgent("elsewhere", "b", 2, 0));
        assertThat(RolloutPlan.selectServers(outdated, List.of("a"), 4, LOAD_TIME))
                .extracting(RolloutCandidate::server)
                .containsExactly("busy");
    }

    /**
     * Guards against too little being served during a rollout because half of the servers drain and load although all
     * could do so in time a few at a time.
     */
    @Test
    void shouldSelectAQuarterOfTheServersWhenAllCanLoadInTime() {
        assertThat(RolloutPlan.selectServers(servers(28, 1, Duration.ofSeconds(8)), List.of(), 28, LOAD_TIME))
                .hasSize(7);
        assertThat(RolloutPlan.selectServers(
                        servers(24, 1, Duration.ofSeconds(8)), List.of("a", "b", "c", "d"), 28, LOAD_TIME))
                .hasSize(3);
    }

    @Test
    void shouldSelectAsManyServersAsMustLoadAtATimeWhenTheTimeLeftIsShort() {
        assertThat(RolloutPlan.selectServers(servers(28, 1, Duration.ofSeconds(6)), List.of(), 28, LOAD_TIME))
                .hasSize(10);
        List<RolloutCandidate> outdated = new ArrayList<>(servers(14, 2, Duration.ofSeconds(8)));
        outdated.addAll(servers(10, 1, Duration.ofSeconds(2)));
        assertThat(RolloutPlan.selectServers(outdated, List.of(), 28, LOAD_TIME))
                .hasSize(10)
                .allMatch(candidate -> candidate.version() == 1);
    }

    @Test
    void shouldNeverSelectMoreThanHalfOfTheServers() {
        assertThat(RolloutPlan.selectServers(servers(28, 1, Duration.ofSeconds(-1)), List.of(), 28, LOAD_TIME))
                .hasSize(14);
        assertThat(RolloutPlan.selectServers(servers(13, 1, Duration.ofMillis(100)), List.of(), 13, LOAD_TIME))
                .hasSize(7);
    }
}
