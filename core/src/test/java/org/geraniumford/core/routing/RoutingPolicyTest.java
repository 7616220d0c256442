package org.geraniumford.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.geraniumford.core.prefix.CacheScope;
import org.geraniumford.core.prefix.PrefixChain;
import org.geraniumford.core.wire.Message;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

final class RoutingPolicyTest {
    private static final RoutingCosts COSTS = RoutingCosts.ofDefaults();
    private static final int BLOCK_TOKENS = 1000;
    /** A prompt level of one whole block; 4 bytes count as one token. */
    private static final String LEVEL = "x".repeat(4 * BLOCK_TOKENS);

    // -- candidates

    @Test
    void shouldReturnTheSameFirstHostWhenPromptsShareAllLevelsButTheLast() {
        List<ConnectedEngine> engines = engines(600, 0);
        Set<String> firstHosts = IntStream.range(0, 50)
                .mapToObj(question -> query("club", "question " + question, question))
                .map(query -> RoutingPolicy.PROBE.candidates(query, engines, COSTS))
                .map(candidates -> candidates.get(0).engine().host())
                .collect(Collectors.toSet());
        assertThat(firstHosts).hasSize(1);
    }

    @Test
    void shouldMoveFewPrefixesWhenAHostLeaves() {
        List<ConnectedEngine> before = engines(20, 0);
        List<ConnectedEngine> after = before.subList(0, 19);
        long moved = IntStream.range(0, 1000)
                .filter(customer -> {
                    RouteQuery query = query("club-" + customer, "question", 1);
                    return !rendezvousHost(query, before).equals(rendezvousHost(query, after));
                })
                .count();
        // On average, each of the 20 hosts is the first one for 1000 / 20 of the prefixes.
        assertThat(moved).isLessThan(2L * 1000 / 20);
    }

    @Test
    void shouldReturnReplicasOnlyWhenTheFirstHostIsBusy() {
        RouteQuery query = query("club", "question", 1);
        long idleReplicas = replicaCount(query, engines(20, 0));
        long busyReplicas = replicaCount(query, engines(20, 3 * COSTS.saturationWaitMicros()));
        assertThat(idleReplicas).isZero();
        assertThat(busyReplicas).isEqualTo(2);
    }

    @ParameterizedTest
    @EnumSource(RoutingPolicy.class)
    void shouldReturnOnlyGivenHostsAndEachOnce(RoutingPolicy policy) {
        List<ConnectedEngine> engines = engines(3, 0);
        for (long salt = -50; salt < 50; salt++) {
            List<Candidate> candidates = policy.candidates(query("club", "question", salt), engines, COSTS);
            assertThat(candidates).isNotEmpty().hasSizeLessThanOrEqualTo(RoutingPolicy.MAX_CANDIDATES);
            assertThat(candidates)
                    .extracting(Candidate::engine)
                    .doesNotHaveDuplicates()
                    .isSubsetOf(engines);
        }
        assertThat(policy.candidates(query("club", "question", 1), List.of(), COSTS))
                .isEmpty();
    }

    @Test
    void shouldReturnOnlyEnginesThatAreUpAndNotLeavingAndHaveTheRequiredWeights() {
        ConnectedEngine available = new ConnectedEngine("a", "d", "v1", "w1", 1, false, 0);
        ConnectedEngines engines = ConnectedEngines.ofAll(List.of(
                available,
                new ConnectedEngine("down", "d", "v1", "w1", 0, false, 0),
                new ConnectedEngine("leaving", "d", "v1", "w1", 1, true, 0),
                new ConnectedEngine("older", "d", "v1", "w0", 1, false, 0),
                new ConnectedEngine("other", "d", "v2", "w1", 1, false, 0)));
        assertThat(engines.serving("v1", "w1")).containsExactly(available);
    }

    // -- hints

    @Test
    void shouldReturnNoHintWhenItsEngineHasRestarted() {
        HintCache hints = HintCache.ofCapacity(100);
        RouteQuery query = query("club", "question", 1);
        hints.recordServed(query, "h00", 1);
        assertThat(hints.longestMatch(query.blocks(), ConnectedEngines.ofAll(engines(1, 0))))
                .isPresent();
        ConnectedEngine restarted = new ConnectedEngine("h00", "d", "v1", "w1", 2, false, 0);
        assertThat(hints.longestMatch(query.blocks(), ConnectedEngines.ofAll(List.of(restarted))))
                .isEmpty();
    }

    @Test
    void shouldStayWithinTheCapacityWhenManyPrefixesAreServed() {
        HintCache hints = HintCache.ofCapacity(100);
        IntStream.range(0, 1000).forEach(customer -> hints.recordServed(query("club-" + customer, "q", 1), "h00", 1));
        assertThat(hints.size()).isEqualTo(100);
    }

    // -- choice

    @Test
    void shouldChooseTheHostWithMoreCachedBlocksUnlessItsWaitCostsMore() {
        // The host without cached blocks costs 400 ms more: 200 ms to prefill two blocks, and the same as a penalty.
        assertThat(choice(probeResponse(2, 2, 0), probeResponse(0, 0, 0))).isEqualTo("h00");
        assertThat(choice(probeResponse(2, 2, 100_000), probeResponse(0, 0, 0))).isEqualTo("h00");
        assertThat(choice(probeResponse(2, 2, 450_000), probeResponse(0, 0, 0))).isEqualTo("h01");
    }

    @Test
    void shouldDuplicateAPrefixOnlyWhenTheHostThatCachedItIsSaturated() {
        RoutingCosts unsaturated = new RoutingCosts(50, 0, 0, 1, 150_001);
        RoutingCosts saturated = new RoutingCosts(50, 0, 0, 1, 150_000);
        Map<String, Message.ProbeResponse> responses =
                Map.of("h00", probeResponse(2, 2, 150_000), "h01", probeResponse(0, 0, 0));
        assertThat(choice(unsaturated, responses)).isEqualTo("h00");
        assertThat(choice(saturated, responses)).isEqualTo("h01");
    }

    @Test
    void shouldPrefillAnUncachedPrefixOnItsRendezvousHostUnlessThatHostIsSaturated() {
        RouteQuery query = query("club", "question", 1);
        ConnectedEngine prefixHost = new ConnectedEngine("home", "another domain", "v1", "w1", 1, false, 50_000);
        ConnectedEngine idleHost = new ConnectedEngine("idle", "d", "v1", "w1", 1, false, 0);
        List<Candidate> candidates = List.of(
                new Candidate(prefixHost, Candidate.Source.PREFIX), new Candidate(idleHost, Candidate.Source.SPARE));
        // The prefix host costs 51 ms more. Unless it is saturated, the idle host has a penalty of about 100 ms.
        assertThat(cheapest(new RoutingCosts(50, 1_000, 0, 1, 50_001), query, candidates))
                .isEqualTo("home");
        assertThat(cheapest(new RoutingCosts(50, 1_000, 0, 1, 50_000), query, candidates))
                .isEqualTo("idle");
    }

    @Test
    void shouldCountABlockWhosePrefillIsRunningAsAlmostCached() {
        assertThat(choice(probeResponse(0, 2, 0), probeResponse(0, 0, 0))).isEqualTo("h00");
        assertThat(choice(probeResponse(0, 2, 0), probeResponse(2, 2, 0))).isEqualTo("h01");
    }

    @Test
    void shouldSkipAHostWhenItsProbeResponseReportsItAsLeavingOrDown() {
        assertThat(choice(new Message.ProbeResponse(1, 3, 3, 0, 1, true), probeResponse(0, 0, 0)))
                .isEqualTo("h01");
        assertThat(choice(new Message.ProbeResponse(1, 3, 3, 0, 0, false), probeResponse(0, 0, 0)))
                .isEqualTo("h01");
    }

    @Test
    void shouldReturnAHostWhenItsProbeResponseWasLost() {
        RouteQuery query = query("club", "question", 1);
        List<CandidateCost> ranked =
                new CandidateRanker(COSTS).rank(query, candidates(), Map.of(), Set.of("h00", "h01"));
        assertThat(ranked).hasSize(2).allMatch(cost -> cost.known() == CandidateCost.ProbeOutcome.LOST);
    }

    // -- helpers

    private static String choice(Message.ProbeResponse first, Message.ProbeResponse second) {
        return choice(COSTS, Map.of("h00", first, "h01", second));
    }

    private static String choice(RoutingCosts costs, Map<String, Message.ProbeResponse> responses) {
        RouteQuery query = query("club", "question", 1);
        return new CandidateRanker(costs)
                .rank(query, candidates(), responses, responses.keySet())
                .get(0)
                .host();
    }

    private static String cheapest(RoutingCosts costs, RouteQuery query, List<Candidate> candidates) {
        return new CandidateRanker(costs)
                .rank(query, candidates, Map.of(), Set.of())
                .get(0)
                .host();
    }

    private static Message.ProbeResponse probeResponse(int cachedBlocks, int pendingBlocks, long waitMicros) {
        return new Message.ProbeResponse(1, cachedBlocks, pendingBlocks, waitMicros, 1, false);
    }

    private static List<Candidate> candidates() {
        return engines(2, 0).stream()
                .map(engine -> new Candidate(engine, Candidate.Source.PREFIX))
                .toList();
    }

    private static String rendezvousHost(RouteQuery query, List<ConnectedEngine> engines) {
        return RoutingPolicy.RENDEZVOUS
                .candidates(query, engines, COSTS)
                .get(0)
                .engine()
                .host();
    }

    private static long replicaCount(RouteQuery query, List<ConnectedEngine> engines) {
        return RoutingPolicy.PROBE.candidates(query, engines, COSTS).stream()
                .filter(candidate -> candidate.source() == Candidate.Source.REPLICA)
                .count();
    }

    private static List<ConnectedEngine> engines(int count, long waitMicros) {
        return IntStream.range(0, count)
                .mapToObj(index ->
                        new ConnectedEngine(String.format("h%02d", index), "d", "v1", "w1", 1, false, waitMicros))
                .toList();
    }

    private static RouteQuery query(String customer, String question, long salt) {
        CacheScope scope = new CacheScope(customer, "w1", "");
        PrefixChain chain = PrefixChain.of(scope, List.of(LEVEL, LEVEL + "y", question), BLOCK_TOKENS);
        return new RouteQuery("v1", "w1", "d", chain.blocks(), chain.levelEnds(), Optional.empty(), Set.of(), salt);
    }
}
