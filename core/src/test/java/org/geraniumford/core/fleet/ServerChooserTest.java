package org.geraniumford.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.geraniumford.core.prompt.PromptSegment;
import org.geraniumford.core.prompt.PromptSpec;
import org.geraniumford.core.service.EngineSpec;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class ServerChooserTest {
    private static final long NOW = 1_000_000_000L;
    private static final PromptSpec LONG = new PromptSpec(
            "model", 9000, 100, List.of(new PromptSegment("house", 6000), new PromptSegment("own", 3000)));
    private static final ScopedPrompt SCOPED = ScopedPrompt.of("scope", LONG);

    private final ServerDirectory directory =
            ServerDirectory.empty(name -> Optional.of(new EngineSpec(64, 100_000, false)));
    private final ServerChooser chooser = ServerChooser.of(new Random(3));

    @BeforeEach
    void listServers() {
        directory.register(server("near-1", "here", 1));
        directory.register(server("near-2", "here", 1));
        directory.register(server("far", "there", 1));
    }

    private static BackendServer server(String id, String domain, int weights) {
        return new BackendServer(id, 1, "service", "10.0.0.1:80", domain, 64, false, Map.of("model", weights));
    }

    private static ServerQuery query(Set<String> excluded, int newest) {
        return new ServerQuery(
                "service",
                "here",
                18_000,
                Optional.of(SCOPED),
                newest,
                newest - 1,
                OptionalLong.empty(),
                false,
                excluded);
    }

    private String chosen(ServerQuery query) {
        return chooser.choose(directory, query, NOW)
                .map(state -> state.server().id())
                .orElse("none");
    }

    private ServerState state(String id) {
        return directory.find(id).orElseThrow();
    }

    @Test
    void shouldReturnTheNearServerThatHoldsThePrefix() {
        state("near-2").cache().recordPrefilled(SCOPED.sharedSegments());
        assertThat(chosen(query(Set.of(), 1))).isEqualTo("near-2");
    }

    /** The load of a hot session: all entries know where its prefix is, and any engine can fetch it. */
    @Test
    void shouldLeaveAPrefixThatCanBeFetchedForAShorterQueue() {
        state("near-2").cache().recordPrefilled(SCOPED.sharedSegments());
        state("near-2").updatePeerLoad("peer", new ServerLoad("near-2", 3, 27_000, 4000));
        ServerQuery fetchable = new ServerQuery(
                "service", "here", 18_000, Optional.of(SCOPED), 1, 0, OptionalLong.empty(), true, Set.of());
        assertThat(chosen(query(Set.of(), 1))).isEqualTo("near-2");
        assertThat(chosen(fetchable)).isEqualTo("near-1");
    }

    @Test
    void shouldLeaveThePrefixWhenAQueueThereCostsMore() {
        state("near-2").cache().recordPrefilled(SCOPED.sharedSegments());
        state("near-2").updatePeerLoad("peer", new ServerLoad("near-2", 3, 27_000, 20_000));
        assertThat(chosen(query(Set.of(), 1))).isEqualTo("near-1");
    }

    @Test
    void shouldLeaveTheFailureDomainOnlyWhenItsServersAreFull() {
        state("near-1").updatePeerLoad("peer", new ServerLoad("near-1", 2, 18_000, 9000));
        state("near-2").updatePeerLoad("peer", new ServerLoad("near-2", 2, 18_000, 9000));
        assertThat(chosen(query(Set.of(), 1))).startsWith("near");
        state("near-1").updatePeerLoad("peer", new ServerLoad("near-1", 10, 90_000, 9000));
        state("near-2").updatePeerLoad("peer", new ServerLoad("near-2", 10, 90_000, 9000));
        assertThat(chosen(query(Set.of(), 1))).isEqualTo("far");
    }

    /** The load of a rollout: one server has the new weights, and every entry sees it at once. */
    @Test
    void shouldNotCrowdTheFirstServerWithNewWeights() {
        state("near-1").recordWeightsVersion("model", 2);
        int crowded = 0;
        for (int i = 0; i < 20; i++) {
            ServerState state =
                    chooser.choose(directory, query(Set.of(), 2), NOW).orElseThrow();
            state.recordSent(LONG.totalTokens(), LONG.inputTokens());
            crowded += state.server().id().equals("near-1") ? 1 : 0;
        }
        assertThat(crowded).isBetween(7, 13);
    }

    /** The load of the moment after new weights: every entry asks for the same part, which no engine holds. */
    @Test
    void shouldHaveAnUnknownPartReadByOneServerWhicheverEntryAsks() {
        ServerChooser other = ServerChooser.of(new Random(99));
        for (int i = 0; i < 20; i++) {
            ServerQuery unknown = new ServerQuery(
                    "service", "here", 18_000, Optional.of(SCOPED), 1, 0, OptionalLong.of(i * 7919L), false, Set.of());
            ServerQuery elsewhere = new ServerQuery(
                    "service", "there", 18_000, Optional.of(SCOPED), 1, 0, OptionalLong.of(i * 7919L), false, Set.of());
            assertThat(other.choose(directory, elsewhere, NOW)).isEqualTo(chooser.choose(directory, unknown, NOW));
        }
    }

    /** The load after an outage of engines: they come back with weights that were replaced long ago. */
    @Test
    void shouldSendNothingToServersWhoseWeightsAreTooOld() {
        assertThat(chosen(query(Set.of(), 3))).isEqualTo("none");
        state("far").recordWeightsVersion("model", 2);
        assertThat(chosen(query(Set.of(), 3))).isEqualTo("far");
    }

    @Test
    void shouldAvoidServersThatLoadOrAreSuspendedOrTried() {
        state("near-1").markLoading(NOW + 1);
        state("near-2").reachability().recordUnreachable(NOW);
        assertThat(chosen(query(Set.of(), 1))).isEqualTo("far");
        assertThat(chosen(query(Set.of("far"), 1))).isEqualTo("none");
    }

    @Test
    void shouldReturnASuspendedServerWhenNoOtherIsLeftForAFirstTry() {
        List.of("near-1", "near-2", "far")
                .forEach(id -> state(id).reachability().recordUnreachable(NOW));
        assertThat(chosen(query(Set.of(), 1))).isNotEqualTo("none");
    }

    @Test
    void shouldForgetTheLoadOfAPeerThatTellsOfNoneAnyMore() {
        directory.applyGossip("peer", List.of(new ServerLoad("near-1", 9, 90_000, 9000)));
        assertThat(state("near-1").totalLoad().running()).isEqualTo(9);
        directory.applyGossip("peer", List.of());
        assertThat(state("near-1").totalLoad().running()).isEqualTo(0);
    }
}
