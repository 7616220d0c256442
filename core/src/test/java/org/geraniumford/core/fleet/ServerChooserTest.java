package org.geraniumford.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.geraniumford.core.prompt.PromptSegment;
import org.geraniumford.core.prompt.PromptSpec;
import org.geraniumford.core.service.EngineSpec;
import org.geraniumford.core.service.SharingGroup;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class ServerChooserTest {
    private static final long NOW_NANOS = 1_000_000_000L;
    private static final Duration TARGET_LATENCY = Duration.ofMillis(400);
    private static final Duration TIME_LIMIT = Duration.ofMillis(800);
    private static final PromptSpec PROMPT = new PromptSpec(
            "model", 9000, 100, List.of(new PromptSegment("house", 6000), new PromptSegment("own", 3000)));
    private static final ScopedPrompt SCOPED =
            ScopedPrompt.of(new SegmentScope(SharingGroup.ofAllExcept(Set.of()), "1"), PROMPT);

    private final ServerDirectory directory =
            ServerDirectory.empty(name -> Optional.of(new EngineSpec(64, 100_000, false)));
    private final ServerChooser chooser = ServerChooser.of(new Random(3));

    @BeforeEach
    void listServers() {
        directory.register(server("near-1", "here", 1));
        directory.register(server("near-2", "here", 1));
        directory.register(server("far", "there", 1));
    }

    private static BackendServer server(String id, String failureDomain, int weightsVersion) {
        return new BackendServer(
                id, 1, "service", "10.0.0.1:80", failureDomain, 64, false, Map.of("model", weightsVersion));
    }

    /** Returns a query that allows the newest weights and the version before them. */
    private static ServerQuery query(Set<String> excluded, int newestWeightsVersion) {
        return query(SCOPED, newestWeightsVersion, excluded);
    }

    private static ServerQuery query(ScopedPrompt prompt, int newestWeightsVersion, Set<String> excluded) {
        return new ServerQuery(
                "service",
                "here",
                18_000,
                Optional.of(prompt),
                newestWeightsVersion,
                newestWeightsVersion - 1,
                OptionalLong.empty(),
                TARGET_LATENCY,
                TIME_LIMIT,
                false,
                excluded,
                0,
                false,
                false);
    }

    private static ServerQuery withoutPrompt() {
        return new ServerQuery(
                "service",
                "here",
                0,
                Optional.empty(),
                0,
                0,
                OptionalLong.empty(),
                TARGET_LATENCY,
                TIME_LIMIT,
                false,
                Set.of(),
                0,
                false,
                false);
    }

    private String chosenId(ServerQuery query) {
        return chooser.choose(directory, query, NOW_NANOS)
                .map(state -> state.server().id())
                .orElse("none");
    }

    private ServerState state(String id) {
        return directory.find(id).orElseThrow();
    }

    @Test
    void shouldReturnTheServerWithTheCachedPrefixWhenItIsInTheSameFailureDomain() {
        state("near-2").cache().recordPrefilled(SCOPED.sharedSegments());
        assertThat(chosenId(query(Set.of(), 1))).isEqualTo("near-2");
    }

    /**
     * Guards against a queue at one server when many requests share the prefix of one session. All entries assume that
     * this server has cached the prefix and would choose it, although any engine can fetch the prefix from the cache
     * store.
     */
    @Test
    void shouldReturnAServerWithAShorterQueueWhenThePrefixCanBeFetched() {
        state("near-2").cache().recordPrefilled(SCOPED.sharedSegments());
        state("near-2").updatePeerLoad("peer", new ServerLoad("near-2", 3, 27_000, 4000));
        ServerQuery fetchable = new ServerQuery(
                "service",
                "here",
                18_000,
                Optional.of(SCOPED),
                1,
                0,
                OptionalLong.empty(),
                TARGET_LATENCY,
                TIME_LIMIT,
                true,
                Set.of(),
                0,
                false,
                false);
        assertThat(chosenId(query(Set.of(), 1))).isEqualTo("near-2");
        assertThat(chosenId(fetchable)).isEqualTo("near-1");
    }

    @Test
    void shouldReturnAServerWithoutThePrefixWhenTheQueueCostsMore() {
        state("near-2").cache().recordPrefilled(SCOPED.sharedSegments());
        state("near-2").updatePeerLoad("peer", new ServerLoad("near-2", 3, 27_000, 20_000));
        assertThat(chosenId(query(Set.of(), 1))).isEqualTo("near-1");
    }

    /** Guards against many requests that break off together, because a suspect one ended the engine that they share. */
    @Test
    void shouldReturnTheServerWithTheFewestRequestsWhenItMayEndUnderTheRequest() {
        state("near-1").cache().recordPrefilled(SCOPED.sharedSegments());
        state("near-1").updatePeerLoad("peer", new ServerLoad("near-1", 1, 1000, 0));
        state("near-2").updatePeerLoad("peer", new ServerLoad("near-2", 1, 1000, 0));
        ServerQuery suspected = new ServerQuery(
                "service",
                "here",
                18_000,
                Optional.of(SCOPED),
                1,
                0,
                OptionalLong.empty(),
                TARGET_LATENCY,
                TIME_LIMIT,
                false,
                Set.of(),
                0,
                true,
                false);
        assertThat(chosenId(query(Set.of(), 1))).isEqualTo("near-1");
        assertThat(chosenId(suspected)).isEqualTo("far");
    }

    @Test
    void shouldReturnAServerOfAnotherFailureDomainOnlyWhenTheOwnServersAreFull() {
        state("near-1").updatePeerLoad("peer", new ServerLoad("near-1", 2, 18_000, 9000));
        state("near-2").updatePeerLoad("peer", new ServerLoad("near-2", 2, 18_000, 9000));
        assertThat(chosenId(query(Set.of(), 1))).startsWith("near");
        state("near-1").updatePeerLoad("peer", new ServerLoad("near-1", 10, 90_000, 9000));
        state("near-2").updatePeerLoad("peer", new ServerLoad("near-2", 10, 90_000, 9000));
        assertThat(chosenId(query(Set.of(), 1))).isEqualTo("far");
    }

    /**
     * Guards against overload of the first server with new weights during a rollout, since all entries observe its new
     * weights at the same time.
     */
    @Test
    void shouldSpreadRequestsWhenOnlyOneServerHasNewWeights() {
        state("near-1").recordWeightsVersion("model", 2);
        int sentToNewWeights = 0;
        for (int i = 0; i < 20; i++) {
            ServerState state =
                    chooser.choose(directory, query(Set.of(), 2), NOW_NANOS).orElseThrow();
            state.recordAttemptStart(PROMPT.totalTokens(), PROMPT.inputTokens(), 0);
            sentToNewWeights += state.server().id().equals("near-1") ? 1 : 0;
        }
        assertThat(sentToNewWeights).isBetween(7, 13);
    }

    /**
     * Guards against every engine prefilling the same segment after new weights were loaded, when all entries request
     * segments that no engine has cached.
     */
    @Test
    void shouldReturnTheSameServerForAllEntriesWhenASegmentIsUnsaved() {
        ServerChooser otherChooser = ServerChooser.of(new Random(99));
        for (int i = 0; i < 20; i++) {
            ServerQuery fromHere = new ServerQuery(
                    "service",
                    "here",
                    18_000,
                    Optional.of(SCOPED),
                    1,
                    0,
                    OptionalLong.of(i * 7919L),
                    TARGET_LATENCY,
                    TIME_LIMIT,
                    false,
                    Set.of(),
                    0,
                    false,
                    false);
            ServerQuery fromThere = new ServerQuery(
                    "service",
                    "there",
                    18_000,
                    Optional.of(SCOPED),
                    1,
                    0,
                    OptionalLong.of(i * 7919L),
                    TARGET_LATENCY,
                    TIME_LIMIT,
                    false,
                    Set.of(),
                    0,
                    false,
                    false);
            assertThat(otherChooser.choose(directory, fromThere, NOW_NANOS))
                    .isEqualTo(chooser.choose(directory, fromHere, NOW_NANOS));
        }
    }

    /** Guards against requests to engines that restart after an outage with weights that were replaced long ago. */
    @Test
    void shouldReturnNoServerWhoseWeightsAreTooOld() {
        assertThat(chosenId(query(Set.of(), 3))).isEqualTo("none");
        state("far").recordWeightsVersion("model", 2);
        assertThat(chosenId(query(Set.of(), 3))).isEqualTo("far");
    }

    @Test
    void shouldReturnNoServerThatIsLoadingSuspendedOrExcluded() {
        state("near-1").markLoading(NOW_NANOS + 1);
        state("near-2").reachability().recordUnreachable(NOW_NANOS);
        assertThat(chosenId(query(Set.of(), 1))).isEqualTo("far");
        assertThat(chosenId(query(Set.of("far"), 1))).isEqualTo("none");
    }

    @Test
    void shouldReturnASuspendedServerWhenNoOtherIsLeftForAFirstAttempt() {
        List.of("near-1", "near-2", "far")
                .forEach(id -> state(id).reachability().recordUnreachable(NOW_NANOS));
        assertThat(chosenId(query(Set.of(), 1))).isNotEqualTo("none");
    }

    @Test
    void shouldRemoveTheLoadOfAPeerWhenItsGossipNoLongerContainsIt() {
        directory.applyGossip("peer", true, List.of(new ServerLoad("near-1", 9, 90_000, 9000)));
        assertThat(state("near-1").totalLoad().running()).isEqualTo(9);
        directory.applyGossip("peer", true, List.of());
        assertThat(state("near-1").totalLoad().running()).isEqualTo(0);
    }

    // -- interference and overload

    /**
     * Guards against responses that take seconds, and engines that take as long to drain, because every running request
     * waits for each long prompt.
     */
    @Test
    void shouldReturnTheServerWhereFewerRequestsWaitForALongPrompt() {
        state("near-1").updatePeerLoad("peer", new ServerLoad("near-1", 12, 12_000, 0));
        state("near-2").updatePeerLoad("peer", new ServerLoad("near-2", 2, 12_000, 2500));
        assertThat(chosenId(query(Set.of(), 1))).isEqualTo("near-2");
    }

    /** Guards against engines that must drain long responses before they can load newer weights. */
    @Test
    void shouldReturnAServerThatLoadsLaterWhenTheResponseIsLong() {
        state("near-1").recordWeightsVersion("model", 3);
        state("near-1").updatePeerLoad("peer", new ServerLoad("near-1", 1, 5000, 34_000));
        state("near-2").recordWeightsVersion("model", 2);
        assertThat(chosenId(query(Set.of(), 3))).isEqualTo("near-2");
        PromptSpec longResponse = new PromptSpec("model", 9000, 400, PROMPT.segments());
        assertThat(chosenId(query(
                        ScopedPrompt.of(new SegmentScope(SharingGroup.ofAllExcept(Set.of()), "1"), longResponse),
                        3,
                        Set.of())))
                .isEqualTo("near-1");
    }

    private void loadAll(ServerLoad load) {
        List.of("near-1", "near-2", "far").forEach(id -> state(id).updatePeerLoad("peer", load));
    }

    /**
     * Guards against a fleet that stays overloaded because every engine keeps more in progress than its memory holds.
     */
    @Test
    void shouldReturnOverloadedWhenNoEngineHasRoom() {
        assertThat(isOverloaded(query(Set.of(), 1))).isFalse();
        loadAll(new ServerLoad("any", 10, 86_000, 0));
        assertThat(isOverloaded(query(Set.of(), 1))).isTrue();
        loadAll(new ServerLoad("any", 10, 50_000, 41_000));
        assertThat(isOverloaded(query(Set.of(), 1))).isTrue();
        loadAll(new ServerLoad("any", 64, 50_000, 0));
        assertThat(isOverloaded(query(Set.of(), 1))).isTrue();
        loadAll(new ServerLoad("any", 63, 85_000, 40_000));
        assertThat(isOverloaded(query(Set.of(), 1))).isFalse();
    }

    @Test
    void shouldNotReturnOverloadedWhenOneEngineHasRoomOrTheRequestHasNoPrompt() {
        loadAll(new ServerLoad("any", 64, 90_000, 90_000));
        ServerQuery withoutPrompt = withoutPrompt();
        assertThat(isOverloaded(withoutPrompt)).isFalse();
        state("far").updatePeerLoad("peer", ServerLoad.idle("far"));
        assertThat(isOverloaded(query(Set.of(), 1))).isFalse();
        assertThat(chosenId(query(Set.of(), 1))).isEqualTo("far");
    }

    /** Guards against a server that gets all requests which need not wait because it was measured as 5 % faster. */
    @Test
    void shouldSpreadPlainRequestsOverServersOfAboutTheSameSpeed() {
        state("near-1").updateSpeed(new ServerSpeed(100, OptionalDouble.empty(), OptionalDouble.of(82)));
        state("near-2").updateSpeed(new ServerSpeed(100, OptionalDouble.empty(), OptionalDouble.of(86)));
        long atSlower = IntStream.range(0, 200)
                .filter(i -> chosenId(withoutPrompt()).equals("near-2"))
                .count();
        assertThat(atSlower).isBetween(60L, 140L);
    }

    /** Guards against refusing everything where the configuration does not tell how much the engines hold. */
    @Test
    void shouldNotReturnOverloadedWhenTheCapacityOfTheEnginesIsUnknown() {
        ServerDirectory unknownCapacity = ServerDirectory.empty(name -> Optional.empty());
        unknownCapacity.register(server("only", "here", 1));
        unknownCapacity.find("only").orElseThrow().updatePeerLoad("peer", new ServerLoad("only", 2, 18_000, 0));
        assertThat(isOverloaded(unknownCapacity, query(Set.of(), 1))).isFalse();
    }

    @Test
    void shouldReturnAServerWithRoomBeforeACheaperOneWithout() {
        state("near-1").cache().recordPrefilled(SCOPED.segments());
        state("near-1").updatePeerLoad("peer", new ServerLoad("near-1", 10, 86_000, 0));
        state("near-2").updatePeerLoad("peer", new ServerLoad("near-2", 10, 86_000, 0));
        state("far").updatePeerLoad("peer", new ServerLoad("far", 40, 84_000, 39_000));
        assertThat(chosenId(query(Set.of(), 1))).isEqualTo("far");
    }

    private boolean isOverloaded(ServerQuery query) {
        return isOverloaded(directory, query);
    }

    private boolean isOverloaded(ServerDirectory servers, ServerQuery query) {
        return chooser.decideOverload(servers, query, false, NOW_NANOS) instanceof OverloadDecision.Refused;
    }
}
