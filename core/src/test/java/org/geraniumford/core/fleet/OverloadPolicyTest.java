package org.geraniumford.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.geraniumford.core.limits.CustomerShares;
import org.geraniumford.core.limits.RefusalTurns;
import org.geraniumford.core.prompt.PromptSpec;
import org.geraniumford.core.service.EngineSpec;
import org.geraniumford.core.service.SharingGroup;
import org.junit.jupiter.api.Test;

/** The loads are those of deployment A of the specification. */
final class OverloadPolicyTest {
    private static final long NOW_NANOS = 1_000_000_000L;
    private static final int ENGINES = 32;
    private static final long CAPACITY = 97_568;
    private static final Duration SHORT_OBJECTIVE = Duration.ofMillis(507);
    private static final ServerQuery LONG = query(Optional.of(new PromptSpec("model", 9190, 13, List.of())), 6060, 2);
    private static final ServerQuery SHORT = query(Optional.of(new PromptSpec("model", 826, 73, List.of())), 15_195, 0);
    private static final ServerQuery PLAIN = query(Optional.empty(), 1525, 0);

    private final ServerDirectory directory =
            ServerDirectory.empty(name -> Optional.of(new EngineSpec(64, CAPACITY, false)));
    private final ServerChooser chooser = ServerChooser.of(new Random(5));

    private static ServerQuery query(Optional<PromptSpec> prompt, int timeLimitMs, int priority) {
        return new ServerQuery(
                "service",
                "here",
                1000,
                prompt.map(spec -> ScopedPrompt.of(new SegmentScope(SharingGroup.ofAllExcept(Set.of()), "1"), spec)),
                1,
                0,
                OptionalLong.empty(),
                SHORT_OBJECTIVE,
                Duration.ofMillis(timeLimitMs),
                false,
                Set.of(),
                priority,
                false,
                false);
    }

    private List<ServerState> register(int count, int slots) {
        return IntStream.range(0, count)
                .mapToObj(number -> {
                    directory.register(new BackendServer(
                            "server-" + number, 1, "service", "10.0.0.1:80", "here", slots, false, Map.of("model", 1)));
                    return directory.find("server-" + number).orElseThrow();
                })
                .toList();
    }

    private boolean admits(ServerQuery query, boolean yielding, long nowNanos) {
        return chooser.decideOverload(directory, query, yielding, nowNanos) instanceof OverloadDecision.Admitted;
    }

    private boolean admits(ServerQuery query) {
        return admits(query, false, NOW_NANOS);
    }

    private OverloadDecision.Refused refusal(ServerQuery query) {
        return (OverloadDecision.Refused) chooser.decideOverload(directory, query, false, NOW_NANOS);
    }

    /** Sends requests until the given number was offered, and returns how many were refused. */
    private int refusedOf(int offered, ServerQuery query) {
        PromptSpec prompt = query.prompt().orElseThrow().prompt();
        int refused = 0;
        for (int i = 0; i < offered; i++) {
            if (admits(query)) {
                chooser.choose(directory, query, NOW_NANOS)
                        .orElseThrow()
                        .recordAttemptStart(prompt.totalTokens(), prompt.inputTokens(), query.priority());
            } else {
                refused++;
            }
        }
        return refused;
    }

    private static long tokensOf(ServerState state, long prefillMillis) {
        return (long) (prefillMillis / state.speed().prefillMillis(1));
    }

    // -- engines

    /**
     * Load: 400 long requests of priority 2 arrive faster than they end, then 200 short ones of priority 0. Guards
     * against urgent requests that are refused because of less urgent ones; all 200 were refused before, as the memory
     * of every engine is reserved above 0.85.
     */
    @Test
    void shouldAdmitUrgentRequestsAfterABurstOfLessUrgentOnes() {
        List<ServerState> engines = register(ENGINES, 64);
        assertThat(refusedOf(400, LONG)).isEqualTo(400 - 10 * ENGINES);
        assertThat(engines).allMatch(engine -> engine.totalLoad().reservedTokens() > 0.85 * CAPACITY);
        assertThat(refusedOf(200, SHORT)).isZero();
        assertThat(admits(LONG)).isFalse();
    }

    /**
     * Load: a quarter of the engines is gone, and the others have a queue of 510 ms, 3 ms above the objective of the
     * short requests. Guards against the refusal of requests that would only be late; all were refused before.
     */
    @Test
    void shouldAdmitARequestThatWillBeLateButNotOneThatStartsAfterHalfItsTimeLimit() {
        List<ServerState> engines = register(ENGINES * 3 / 4, 64);
        engines.forEach(
                engine -> engine.updatePeerLoad("peer", ServerLoad.of("any", 0, 20, 60_000, tokensOf(engine, 510))));
        assertThat(admits(SHORT)).isTrue();
        engines.forEach(
                engine -> engine.updatePeerLoad("peer", ServerLoad.of("any", 0, 20, 60_000, tokensOf(engine, 7700))));
        assertThat(admits(SHORT)).isFalse();
        assertThat(refusal(SHORT).untilRoom()).isBetween(Duration.ofMillis(50), Duration.ofMillis(150));
    }

    /** Load: short requests alone. Guards against engines that preempt requests of the same priority. */
    @Test
    void shouldRefuseAnUrgentRequestWhenRequestsAsUrgentFillMemoryOrSlots() {
        List<ServerState> engines = register(ENGINES, 64);
        engines.forEach(engine -> engine.updatePeerLoad("peer", ServerLoad.of("any", 0, 40, 83_000, 0)));
        assertThat(admits(SHORT)).isFalse();
        engines.forEach(engine -> engine.updatePeerLoad("peer", ServerLoad.of("any", 0, 64, 50_000, 0)));
        assertThat(admits(SHORT)).isFalse();
        engines.forEach(engine -> engine.updatePeerLoad("peer", ServerLoad.of("any", 0, 63, 50_000, 0)));
        assertThat(admits(SHORT)).isTrue();
    }

    /**
     * Load: long requests while short ones ended a moment ago. Guards against long requests that take all memory
     * between two bursts of short ones, and against a reserve where there are none.
     */
    @Test
    void shouldLeaveHeadroomThatFollowsTheRecentUseOfMoreUrgentRequests() {
        List<ServerState> engines = register(ENGINES, 64);
        engines.forEach(engine -> engine.updatePeerLoad("peer", ServerLoad.of("any", 2, 8, 80_000, 0)));
        assertThat(admits(LONG)).isTrue();
        engines.forEach(engine -> engine.updatePeerLoad("urgent", ServerLoad.of("any", 0, 4, 3600, 0)));
        assertThat(admits(SHORT)).isTrue();
        engines.forEach(engine -> engine.updatePeerLoad("urgent", ServerLoad.idle("any")));
        assertThat(admits(LONG)).isFalse();
        long laterNanos = NOW_NANOS + Duration.ofSeconds(40).toNanos();
        assertThat(admits(LONG, false, laterNanos)).isTrue();
    }

    /** Load: short requests hold 90 % of the memory. Guards against a less urgent kind that is never served again. */
    @Test
    void shouldKeepAtMostAQuarterFreeForMoreUrgentRequests() {
        List<ServerState> engines = register(1, 64);
        engines.get(0).updatePeerLoad("urgent", ServerLoad.of("any", 0, 60, 88_000, 0));
        assertThat(admits(LONG)).isFalse();
        engines.get(0).updatePeerLoad("urgent", ServerLoad.of("any", 2, 5, 58_000, 0));
        assertThat(admits(LONG)).isTrue();
    }

    /**
     * Load: one customer at 7 times its usual load fills the engines to 0.8 of the usable memory. Guards against other
     * customers that are refused instead of it, and against retries that take the place of first attempts.
     */
    @Test
    void shouldRefuseRequestsThatYieldBeforeOthersOfTheirPriority() {
        register(ENGINES, 64).forEach(engine -> engine.updatePeerLoad("peer", ServerLoad.of("any", 0, 40, 66_500, 0)));
        assertThat(admits(SHORT, true, NOW_NANOS)).isFalse();
        assertThat(admits(SHORT, false, NOW_NANOS)).isTrue();
    }

    /**
     * Load: of 16 customers one sends 7 times as much as each other, together twice what the engine can run; each
     * request takes 6 rounds. Guards against usual customers that are refused as often as the large one, and against a
     * large one that is starved. Without shares 0.49 of the requests of each are admitted, with them 0.32 of the large
     * customer's and 0.56 of the others'.
     */
    @Test
    void shouldRefuseTheCustomerFarAboveItsShareMoreOftenWithoutStarvingIt() {
        double[] servedEqually = servedShares(false);
        double[] servedFairly = servedShares(true);
        assertThat(servedEqually[0]).isCloseTo(servedEqually[1], within(0.08));
        assertThat(servedFairly[1]).isGreaterThan(servedEqually[1] + 0.05);
        assertThat(servedFairly[0]).isLessThan(servedFairly[1]).isGreaterThan(totalShare(servedFairly) / 4);
    }

    private static double totalShare(double[] served) {
        return (7 * served[0] + 15 * served[1]) / 22;
    }

    /** Returns which parts of the requests of the large customer and of the others are admitted in 200 rounds. */
    private double[] servedShares(boolean fair) {
        ServerState engine = register(1, 64).get(0);
        RefusalTurns turns = RefusalTurns.empty();
        Random random = new Random(7);
        List<Map<String, Long>> startedByRound = new ArrayList<>();
        Map<String, Long> running = new HashMap<>();
        int[] offered = new int[2];
        int[] served = new int[2];
        for (int round = 0; round < 200; round++) {
            long nowNanos = NOW_NANOS + Duration.ofMillis(100).toNanos() * round;
            if (round >= 6) {
                startedByRound.get(round - 6).forEach((customer, tokens) -> {
                    running.merge(customer, -tokens, Long::sum);
                    LongStream.range(0, tokens / 899).forEach(ended -> engine.recordEnded(899, 0));
                });
                running.values().removeIf(tokens -> tokens == 0);
            }
            Map<String, Long> started = new HashMap<>();
            startedByRound.add(started);
            List<Integer> senders = new ArrayList<>(IntStream.range(0, 22)
                    .mapToObj(sender -> Math.max(0, sender - 6))
                    .toList());
            Collections.shuffle(senders, random);
            for (int sender : senders) {
                String customer = "customer-" + sender;
                boolean yields = fair
                        && turns.isOtherWaiting(customer, 0, nowNanos)
                        && CustomerShares.isFarAbove(running, customer);
                offered[Math.min(sender, 1)]++;
                if (admits(SHORT, yields, nowNanos)) {
                    engine.recordAttemptStart(899, 0, 0);
                    running.merge(customer, 899L, Long::sum);
                    started.merge(customer, 899L, Long::sum);
                    served[Math.min(sender, 1)]++;
                } else {
                    turns.recordRefused(customer, 0, Duration.ZERO, 10, SHORT.timeLimit(), nowNanos);
                }
            }
        }
        directory.deregister("server-0", NOW_NANOS);
        return new double[] {(double) served[0] / offered[0], (double) served[1] / offered[1]};
    }

    /**
     * Load: 9 engines load weights, one leaves, the others are full. Guards against a refusal whose log shows the load
     * of idle engines that could not take the request.
     */
    @Test
    void shouldReportOnlyEnginesThatCouldTakeTheRequest() {
        List<ServerState> engines = register(ENGINES, 64);
        engines.subList(0, 9).forEach(engine -> engine.markLoading(NOW_NANOS + 1));
        directory.markLeaving(new LeavingServer("server-9", 1));
        engines.subList(10, ENGINES)
                .forEach(engine ->
                        engine.updatePeerLoad("peer", ServerLoad.of("any", 2, 10, 92_030, tokensOf(engine, 90))));
        OverloadInputs inputs = refusal(LONG).inputs();
        assertThat(inputs.considered()).isEqualTo(22);
        assertThat(inputs.shortestWaitMs()).isEqualTo(90);
        assertThat(inputs.mostFreeTokens()).isBetween(-9098L, -9097L);
        assertThat(inputs.mostFreeSlots()).isEqualTo(54);
    }

    /** Load: none. Guards against the refusal of requests that could wait until an engine has loaded its weights. */
    @Test
    void shouldAdmitWhenNoEngineCouldTakeTheRequest() {
        register(9, 64).forEach(engine -> engine.markLoading(NOW_NANOS + 1));
        assertThat(admits(LONG)).isTrue();
    }

    /**
     * Load: every engine rejects a long request, a few ms before their loads arrive. Guards against requests that are
     * rejected by one engine after the other.
     */
    @Test
    void shouldRefuseForAShortTimeWhatIsNoMoreUrgentThanARejectedRequest() {
        List<ServerState> engines = register(3, 64);
        engines.forEach(engine -> engine.recordFull(9203, 2, NOW_NANOS));
        assertThat(admits(LONG)).isFalse();
        assertThat(refusal(LONG).untilRoom()).isEqualTo(Duration.ofMillis(200));
        assertThat(refusal(LONG).inputs().rejecting()).isEqualTo(3);
        assertThat(admits(SHORT)).isTrue();
        engines.get(0).recordFull(899, 0, NOW_NANOS);
        assertThat(chooser.choose(directory, SHORT, NOW_NANOS).orElseThrow()).isNotEqualTo(engines.get(0));
        assertThat(admits(LONG, false, NOW_NANOS + Duration.ofMillis(200).toNanos()))
                .isTrue();
        engines.get(1).recordSuccess();
        assertThat(admits(LONG)).isTrue();
    }

    /** Load: one request that exceeds the memory of an engine. Guards against engines that it would mark as full. */
    @Test
    void shouldNotCountAnEngineAsFullAfterARequestThatExceedsItsMemory() {
        register(1, 64).get(0).recordFull(CAPACITY + 1, 0, NOW_NANOS);
        assertThat(admits(LONG)).isTrue();
    }

    // -- plain services

    /** Load: 101 and 102 requests at each server of 6 slots and 86 ms, with a time limit of 1,525 ms. */
    @Test
    void shouldRefuseAPlainRequestOnlyWhenItCannotEndWithinItsTimeLimit() {
        List<ServerState> servers = register(4, 6);
        servers.forEach(server -> server.updatePeerLoad("peer", ServerLoad.of("any", 0, 500, 0, 0)));
        assertThat(admits(PLAIN)).as("time of a request unknown").isTrue();
        servers.forEach(
                server -> server.updateSpeed(new ServerSpeed(100, OptionalDouble.empty(), OptionalDouble.of(86))));
        servers.forEach(server -> server.updatePeerLoad("peer", ServerLoad.of("any", 0, 101, 0, 0)));
        assertThat(admits(PLAIN)).isTrue();
        servers.forEach(server -> server.updatePeerLoad("peer", ServerLoad.of("any", 0, 102, 0, 0)));
        assertThat(admits(PLAIN)).isFalse();
        assertThat(refusal(PLAIN).untilRoom()).isEqualTo(Duration.ofMillis(18 * 86 - 1525));
    }

    /**
     * Load: one request of 100 ms after responses of 5 s. Guards against a service that refuses everything, and so
     * never learns that its servers are faster.
     */
    @Test
    void shouldAdmitAPlainRequestThatNeedNotWaitWhateverTheMeanTime() {
        ServerState server = register(1, 6).get(0);
        server.updateSpeed(new ServerSpeed(100, OptionalDouble.empty(), OptionalDouble.of(5000)));
        server.updatePeerLoad("peer", ServerLoad.of("any", 0, 5, 0, 0));
        assertThat(admits(query(Optional.empty(), 100, 0))).isTrue();
        server.updatePeerLoad("peer", ServerLoad.of("any", 0, 6, 0, 0));
        assertThat(admits(query(Optional.empty(), 100, 0))).isFalse();
    }
}
