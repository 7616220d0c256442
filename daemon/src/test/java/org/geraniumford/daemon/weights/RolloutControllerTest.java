package org.geraniumford.daemon.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.geraniumford.core.fleet.BackendServer;
import org.geraniumford.core.weights.LeaseRow;
import org.geraniumford.core.weights.LeaseSnapshot;
import org.geraniumford.core.weights.LeaseVersions;
import org.geraniumford.core.weights.OrderIntent;
import org.geraniumford.core.weights.OrderProgress;
import org.geraniumford.core.weights.PublishedWeights;
import org.geraniumford.core.weights.WeightsLease;
import org.geraniumford.daemon.gateway.GatewayState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class RolloutControllerTest {
    private static final long LONGER_THAN_WRITE_INTERVAL_MILLIS = 300;

    private final VirtualClock clock = new VirtualClock();
    private final GatewayState state = GatewayState.empty("here");
    private final RecordedLeases leases = new RecordedLeases();
    private final DrainingEngine engine = new DrainingEngine();
    private final RolloutController controller = RolloutController.of(
            "host", state, leases, engine, new RolloutTimes(Duration.ZERO, Duration.ofSeconds(8)), clock, () -> 0L);

    /**
     * Guards against requests to an engine that drains for longer than the order's intent is valid: it looks idle to
     * every entry and rejects them all.
     */
    @Test
    void shouldRenewTheIntentOfAnOrderWhileTheEngineDrains() {
        state.directory()
                .register(
                        new BackendServer("engine", 1, "engines", "10.0.0.1:80", "here", 8, false, Map.of("model", 1)));
        state.recordPublishedWeights(new PublishedWeights("model", 2, 0, 0, true), "store");
        controller.tick();
        tickAfter(0);
        assertThat(engine.orders).isEqualTo(1);
        OrderIntent intent = leases.lastIntents().get(0);
        assertThat(leases.lastIntents())
                .containsExactly(
                        new OrderIntent(intent.key(), "model", 2, "host", leases.nowMillis(), OrderProgress.ISSUED));
        tickAfter(1000);
        assertThat(leases.lastIntents())
                .containsExactly(
                        new OrderIntent(intent.key(), "model", 2, "host", leases.nowMillis(), OrderProgress.ANSWERED));
        assertThat(intent.recordedMillis()).isLessThan(leases.nowMillis());
        assertThat(engine.orders).isEqualTo(1);
    }

    /**
     * Guards against an order that is given up and recorded again as another one while its engine carries it out, so
     * that its load time is not learned.
     */
    @Test
    void shouldKeepTheOrderOfAnEngineThatDrainsForLong() {
        listOutdatedEngine();
        tickAfter(0);
        tickAfter(0);
        OrderIntent intent = leases.lastIntents().get(0);
        for (int i = 0; i < 12; i++) {
            tickAfter(1000);
        }
        assertThat(leases.lastIntents()).extracting(OrderIntent::key).containsExactly(intent.key());
        assertThat(engine.orders).isEqualTo(1);
    }

    @Test
    void shouldGiveUpTheOrderOfAnEngineThatNoLongerReportsIt() {
        listOutdatedEngine();
        tickAfter(0);
        tickAfter(0);
        engine.restarts();
        for (int i = 0; i < 6; i++) {
            tickAfter(1000);
        }
        assertThat(engine.orders).isEqualTo(2);
    }

    /** Guards against intents that are recorded in vain and then hold back the successor of a slow holder. */
    @Test
    void shouldRecordNoOrderAfterAWriteThatWasAnsweredTooLateForOrders() {
        listOutdatedEngine();
        leases.writeMillis = 1200;
        tickAfter(0);
        tickAfter(0);
        tickAfter(0);
        tickAfter(0);
        List<WeightsLease> written = leases.written;
        assertThat(written).extracting(WeightsLease::released).containsExactly(false, false, true);
        OrderIntent first = written.get(0).intents().get(0);
        assertThat(written)
                .flatExtracting(WeightsLease::intents)
                .extracting(OrderIntent::key)
                .containsOnly(first.key());
    }

    /** Guards against a controller that waits for ever, because whoever handled the result of a call has failed. */
    @Test
    void shouldGoOnWhenACallOfTheStoreIsLost() {
        state.directory()
                .register(
                        new BackendServer("engine", 1, "engines", "10.0.0.1:80", "here", 8, false, Map.of("model", 1)));
        state.recordPublishedWeights(new PublishedWeights("model", 2, 0, 0, true), "store");
        leases.losesReads = true;
        tickAfter(0);
        assertThat(engine.orders).isZero();
        leases.losesReads = false;
        tickAfter(4500);
        assertThat(engine.orders).isZero();
        tickAfter(400);
        tickAfter(0);
        assertThat(engine.orders).isEqualTo(1);
    }

    // -- rows that cannot be read

    private void listOutdatedEngine() {
        state.directory()
                .register(
                        new BackendServer("engine", 1, "engines", "10.0.0.1:80", "here", 8, false, Map.of("model", 1)));
        state.recordPublishedWeights(new PublishedWeights("model", 2, 0, 0, true), "store");
    }

    private void tickAfter(long millis) {
        leases.nowMillis += millis;
        clock.advance(millis);
        for (int i = 0; i < 3; i++) {
            clock.advance(LONGER_THAN_WRITE_INTERVAL_MILLIS / 3);
            controller.tick();
        }
    }

    /** Guards against a rollout that nobody can go on with, because each write expects version 0 of an existing row. */
    @ParameterizedTest
    @ValueSource(strings = {"", "3 host-a 100000\ni-0 Walia LLM 3 host-a 99000 false", "3 host-a", "\u0000", "{}"})
    void shouldTakeOverARowThatCannotBeReadOnceItIsNoLongerRenewed(String value) {
        leases.row = new LeaseSnapshot(40, value);
        listOutdatedEngine();
        tickAfter(0);
        tickAfter(1400);
        assertThat(leases.expectedVersions).isEmpty();
        tickAfter(200);
        tickAfter(1000);
        tickAfter(1000);
        assertThat(engine.orders).isEqualTo(1);
        assertThat(leases.expectedVersions).startsWith(40L);
        assertThat(leases.written).allMatch(lease -> lease.term().fencingToken() == 41);
    }

    @Test
    void shouldNotTakeOverARowThatCannotBeReadWhileItsHolderRenewsIt() {
        listOutdatedEngine();
        for (int i = 0; i < 6; i++) {
            leases.row = new LeaseSnapshot(40 + i, "a row of another version of this program");
            tickAfter(1000);
        }
        assertThat(leases.expectedVersions).isEmpty();
        assertThat(engine.orders).isZero();
    }

    @Test
    void shouldWriteANewRowWhenTheOperatorHasRemovedIt() {
        leases.row = new LeaseSnapshot(40, "7 host-a 0");
        listOutdatedEngine();
        leases.losesWrites = true;
        tickAfter(0);
        assertThat(leases.expectedVersions).containsOnly(40L);
        leases.losesWrites = false;
        leases.row = LeaseSnapshot.empty();
        tickAfter(5000);
        tickAfter(5000);
        tickAfter(1000);
        assertThat(leases.expectedVersions).contains(0L);
    }

    // -- stand-ins

    private final class RecordedLeases implements LeaseStore {
        private final List<WeightsLease> written = new ArrayList<>();
        private long nowMillis = 100_000;
        private final List<Long> expectedVersions = new ArrayList<>();
        private LeaseSnapshot row = LeaseSnapshot.empty();
        private long storeVersion;
        private boolean losesReads;
        private boolean losesWrites;

        /** How long a write takes to be answered; nothing else happens meanwhile. */
        private long writeMillis;

        List<OrderIntent> lastIntents() {
            return written.get(written.size() - 1).intents();
        }

        @Override
        public CompletableFuture<LeaseRow> read() {
            return losesReads ? new CompletableFuture<>() : CompletableFuture.completedFuture(new LeaseRow(row, 0, 0));
        }

        @Override
        public CompletableFuture<OptionalLong> write(LeaseVersions expected, WeightsLease lease) {
            expectedVersions.add(expected.row());
            if (losesWrites) {
                return CompletableFuture.completedFuture(OptionalLong.empty());
            }
            written.add(lease);
            clock.advance(writeMillis);
            storeVersion = Math.max(storeVersion, row.version()) + 1;
            return CompletableFuture.completedFuture(OptionalLong.of(storeVersion));
        }

        @Override
        public long nowMillis() {
            return nowMillis;
        }
    }

    /** Accepts orders and never loads the weights. */
    private static final class DrainingEngine implements EngineAdmin {
        private int orders;
        private boolean busy;

        /** Loses the order that it is carrying out. */
        void restarts() {
            busy = false;
        }

        @Override
        public CompletableFuture<EngineReport> report(BackendServer server) {
            return CompletableFuture.completedFuture(new EngineReport(Map.of("model", 1), busy, orders));
        }

        @Override
        public CompletableFuture<Boolean> order(BackendServer server, WeightsOrder order, BooleanSupplier permission) {
            assertThat(permission.getAsBoolean()).isTrue();
            orders++;
            busy = true;
            return CompletableFuture.completedFuture(true);
        }
    }
}
