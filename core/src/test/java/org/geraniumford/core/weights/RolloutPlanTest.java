package org.geraniumford.core.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class RolloutPlanTest {
    private static final LoadEstimate LOAD_TIME = LoadEstimate.of(Duration.ofSeconds(2));
    private static final List<RolloutCandidate> OUTDATED = List.of(
            urgent("a1", "a", 1, 9),
            urgent("a2", "a", 1, 0),
            urgent("a3", "a", 1, 1),
            urgent("b1", "b", 1, 5),
            urgent("c1", "c", 1, 7));

    private static RolloutCandidate urgent(String server, String failureDomain, int version, int running) {
        return new RolloutCandidate(server, failureDomain, version, running, Duration.ZERO, Duration.ZERO);
    }

    private static List<RolloutCandidate> servers(int count, int version, Duration timeLeft) {
        return IntStream.range(0, count)
                .mapToObj(i -> new RolloutCandidate("v" + version + "-" + i, "a", version, 0, timeLeft, Duration.ZERO))
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

    private static RolloutCandidate withCompletion(RolloutCandidate candidate, Duration completionTimeLeft) {
        return new RolloutCandidate(
                candidate.server(),
                candidate.failureDomain(),
                candidate.version(),
                candidate.running(),
                candidate.timeLeft(),
                completionTimeLeft);
    }

    private static List<RolloutCandidate> servers(int count, Duration timeLeft, Duration completionTimeLeft) {
        return servers(count, 1, timeLeft).stream()
                .map(candidate -> withCompletion(candidate, completionTimeLeft))
                .toList();
    }

    @Test
    void shouldNeverSelectMoreThanHalfOfTheServersWhileTheirWeightsMayBeUsedAndTheRolloutIsInTime() {
        Duration manyTurns = LOAD_TIME.expected().multipliedBy(5);
        assertThat(RolloutPlan.selectServers(servers(28, Duration.ZERO, manyTurns), List.of(), 28, LOAD_TIME))
                .hasSize(14);
        assertThat(RolloutPlan.selectServers(servers(13, Duration.ofMillis(100), manyTurns), List.of(), 13, LOAD_TIME))
                .hasSize(7);
        assertThat(RolloutPlan.selectServers(servers(13, 1, Duration.ofMillis(100)), List.of(), 13, LOAD_TIME))
                .hasSize(7);
    }

    /** Guards against servers that serve nothing and wait for others to load, because requests avoid their weights. */
    @Test
    void shouldSelectAllServersWhoseWeightsMayNoLongerBeUsed() {
        List<RolloutCandidate> outdated = new ArrayList<>(servers(12, 1, Duration.ofMillis(-1)));
        outdated.addAll(servers(8, 2, Duration.ofSeconds(1)));
        assertThat(RolloutPlan.selectServers(outdated, Collections.nCopies(8, "a"), 28, LOAD_TIME))
                .hasSize(12)
                .allMatch(candidate -> candidate.version() == 1);
    }

    /** Guards against a rollout that ends too late because the servers before take long to drain. */
    @Test
    void shouldSelectTheOtherServersAtTheLastMomentThatIsInTime() {
        LoadEstimate longDrains = new LoadEstimate(Duration.ofSeconds(4), Duration.ofSeconds(7));
        List<String> half = Collections.nCopies(9, "a");
        Duration usable = Duration.ofSeconds(2);
        assertThat(RolloutPlan.selectServers(servers(9, usable, Duration.ofMillis(7600)), half, 18, longDrains))
                .isEmpty();
        assertThat(RolloutPlan.selectServers(servers(9, usable, Duration.ofMillis(7400)), half, 18, longDrains))
                .hasSize(9);
    }

    /** Guards against a fleet that serves nothing although that does not make the rollout end in time. */
    @Test
    void shouldNotExceedHalfOfTheServersWhenNoneCanLoadInTime() {
        LoadEstimate tooLong = LoadEstimate.of(Duration.ofSeconds(12));
        assertThat(RolloutPlan.selectServers(
                        servers(18, Duration.ofSeconds(6), Duration.ofSeconds(11)), List.of(), 18, tooLong))
                .hasSize(9);
    }
}
