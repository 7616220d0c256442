package org.geraniumford.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.geraniumford.core.limits.EntryShare;
import org.geraniumford.core.prompt.PromptSpec;
import org.geraniumford.core.service.EngineSpec;
import org.geraniumford.core.service.SharingGroup;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class SendDecisionTest {
    private static final long SEED = 40;
    private static final int ROUNDS = 10_000;
    private static final long NOW_NANOS = 1_000_000_000L;

    private final ServerDirectory directory =
            ServerDirectory.empty(name -> Optional.of(new EngineSpec(64, 100_000, true)));

    /** An entry that is alone has all of a server's limit, at any time of the clock. */
    @BeforeEach
    void beAlone() {
        directory.updateEntryShare(new EntryShare(0, 1, 0));
    }

    private ServerState listed(long incarnation, int weightsVersion) {
        directory.register(new BackendServer(
                "server", incarnation, "service", "10.0.0.1:80", "here", 64, false, Map.of("model", weightsVersion)));
        return directory.find("server").orElseThrow();
    }

    private static ServerQuery query(Set<String> excluded) {
        return new ServerQuery(
                "service",
                "here",
                100,
                Optional.of(ScopedPrompt.of(
                        new SegmentScope(SharingGroup.ofAllExcept(Set.of()), "1"),
                        new PromptSpec("model", 10, 10, List.of()))),
                2,
                2,
                OptionalLong.empty(),
                Duration.ofMillis(400),
                Duration.ofMillis(800),
                false,
                excluded,
                0,
                false,
                false);
    }

    private SendDecision decide(ServerState state, ServerQuery query) {
        return SendDecision.of(directory, state, query, NOW_NANOS);
    }

    /** Compares the decision with what was done to the server before, in random order. */
    @Test
    void shouldGiveTheFirstReasonThatAppliesWhateverHappenedInWhateverOrder() {
        Random random = new Random(SEED);
        for (int round = 0; round < ROUNDS; round++) {
            boolean oldWeights = random.nextBoolean();
            ServerState state = listed(2 * round + 1, oldWeights ? 1 : 2);
            List<SendDecision> applying = new ArrayList<>();
            boolean attempted = random.nextBoolean();
            if (oldWeights) {
                applying.add(SendDecision.WRONG_WEIGHTS);
            }
            if (attempted) {
                applying.add(SendDecision.ATTEMPTED);
            }
            int events = random.nextInt(4);
            for (int event = 0; event < events; event++) {
                applying.add(apply(state, random.nextInt(7)));
            }
            SendDecision expected = applying.stream().min(Enum::compareTo).orElse(SendDecision.SEND);
            assertThat(decide(state, query(attempted ? Set.of("server") : Set.of())))
                    .as("round %d of seed %d: %s", round, SEED, applying)
                    .isEqualTo(expected);
        }
    }

    private SendDecision apply(ServerState state, int event) {
        BackendServer server = state.server();
        switch (event) {
            case 0 -> {
                directory.deregister(server.id(), NOW_NANOS);
                return SendDecision.UNLISTED;
            }
            case 1 -> {
                // Not through the directory, which ignores a server that is not listed.
                state.updateServer(server.asLeaving());
                return SendDecision.LEAVING;
            }
            case 2 -> {
                state.limit().apply(OptionalDouble.of(0), 0, NOW_NANOS);
                return SendDecision.LIMIT_REACHED;
            }
            case 3 -> {
                state.markLoading(NOW_NANOS + 1);
                return SendDecision.LOADING;
            }
            case 4 -> {
                state.pause().ask(Duration.ofMillis(1), NOW_NANOS);
                return SendDecision.PAUSED;
            }
            case 5 -> {
                state.rejection().recordRejection(0, NOW_NANOS);
                return SendDecision.FULL;
            }
            default -> {
                state.reachability().recordUnreachable(NOW_NANOS);
                return SendDecision.SUSPENDED;
            }
        }
    }

    @Test
    void shouldForbidAServerThatIsListedUnderAnotherIncarnation() {
        ServerState earlier = listed(1, 2);
        ServerState later = listed(2, 2);
        assertThat(decide(earlier, query(Set.of()))).isEqualTo(SendDecision.UNLISTED);
        assertThat(decide(later, query(Set.of()))).isEqualTo(SendDecision.SEND);
    }

    @Test
    void shouldAllowAResumptionAtTheBackupOnOlderWeightsThanARequestMayBeginOn() {
        ServerState state = listed(1, 1);
        assertThat(decide(state, query(Set.of()))).isEqualTo(SendDecision.WRONG_WEIGHTS);
        assertThat(decide(state, query(Set.of("server")).asResumptionAtBackup()))
                .isEqualTo(SendDecision.SEND);
    }

    @Test
    void shouldOnlyAdviseAgainstAServerThatIsSuspendedLoadingOrFull() {
        assertThat(SendDecision.values())
                .filteredOn(decision -> !decision.forbidsSending())
                .containsExactly(SendDecision.LOADING, SendDecision.SUSPENDED, SendDecision.FULL, SendDecision.SEND);
    }
}
