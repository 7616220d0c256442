package org.geraniumford.daemon.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.geraniumford.core.fleet.BackendServer;
import org.geraniumford.core.fleet.ServerState;
import org.geraniumford.core.weights.LeaseRow;
import org.geraniumford.core.weights.LeaseSnapshot;
import org.geraniumford.core.weights.LeaseTerm;
import org.geraniumford.core.weights.OrderIntent;
import org.geraniumford.core.weights.OrderKey;
import org.geraniumford.core.weights.OrderProgress;
import org.geraniumford.core.weights.OrderSpacing;
import org.geraniumford.core.weights.WeightsLease;
import org.geraniumford.daemon.gateway.GatewayState;
import org.geraniumford.daemon.weights.SimulatedRollout.StoreAccess;
import org.junit.jupiter.api.Test;

/** Guards against rollouts that wait for answers that nobody asks for, and against more reports than are needed. */
final class HeldBackServersTest {
    private static final int ENGINES = 6;
    private static final int ENTRIES = 24;
    private static final long ARRIVAL_MILLIS = 1800;

    /** Longer than the time after its start for which an entry orders nothing. */
    private static final long START_TIME_MILLIS = 8000;

    private static final long TIME_TO_FIRST_ORDERS_MILLIS = 200;
    private static final long LIMIT_MILLIS = 30_000;

    private static SimulatedRollout started(int entries) {
        SimulatedRollout rollout = new SimulatedRollout(entries, ENGINES, 1);
        rollout.run(START_TIME_MILLIS);
        rollout.publish(2);
        rollout.run(TIME_TO_FIRST_ORDERS_MILLIS);
        return rollout;
    }

    private static long timeOfNextVersion(SimulatedRollout rollout) {
        rollout.runUntil(() -> rollout.enginesBehind(2) == 0, LIMIT_MILLIS);
        rollout.run(LIMIT_MILLIS / 2);
        rollout.publish(3);
        return rollout.runUntil(() -> rollout.enginesBehind(3) == 0, LIMIT_MILLIS);
    }

    /** Guards against orders that a holder has left without an answer, and that nobody asks about until they matter. */
    @Test
    void shouldRollOutTheNextVersionAsFastAfterAHolderHasEnded() {
        SimulatedRollout disturbed = started(3);
        disturbed.holder().setRunning(false);
        assertThat(timeOfNextVersion(disturbed)).isEqualTo(timeOfNextVersion(started(3)));
    }

    /** Guards against reports of entries that cannot take the lease over anyway. */
    @Test
    void shouldAskNoServerWhileTheStoreCannotBeRead() {
        SimulatedRollout rollout = started(ENTRIES);
        rollout.holder().setRunning(false);
        rollout.entries().forEach(entry -> entry.setStoreAccess(StoreAccess.REFUSED));
        int before = rollout.reports();
        rollout.run(LIMIT_MILLIS / 2);
        assertThat(rollout.reports()).isEqualTo(before);
    }

    /** Guards against a server that requests always keep at its limit, and that is never asked and so never ordered. */
    @Test
    void shouldAskAServerWhoseLimitIsUsedUp() {
        VirtualClock clock = new VirtualClock();
        GatewayState state = GatewayState.empty("here");
        state.directory()
                .register(
                        new BackendServer("engine", 1, "engines", "10.0.0.1:80", "here", 8, false, Map.of("model", 1)));
        ServerState server = state.directory().find("engine").orElseThrow();
        server.limit().apply(OptionalDouble.of(1), 0, System.nanoTime());
        state.serverLimits().recordUse(server);
        assertThat(state.serverLimits().hasRoom(server)).isFalse();
        KnownLease known = new KnownLease(
                "host",
                "process",
                clock,
                new OrderSpacing(Duration.ofMillis(ARRIVAL_MILLIS), Duration.ofSeconds(3)),
                Duration.ZERO);
        known.applyRead(new LeaseRow(new LeaseSnapshot(9, leaseOfAnother().encode()), 9, 0), clock.nanos());
        clock.advance(ARRIVAL_MILLIS);
        CountingEngine engine = new CountingEngine();
        new HeldBackServers(state, engine, known, clock).ask(List.of(server));
        assertThat(engine.reports).isEqualTo(1);
    }

    private static WeightsLease leaseOfAnother() {
        OrderIntent intent =
                new OrderIntent(new OrderKey("engine", 8, 8), "model", 2, "another", 0, OrderProgress.ISSUED);
        return new WeightsLease(new LeaseTerm(8, "another", "p"), false, List.of(intent), 0, 8);
    }

    private static final class CountingEngine implements EngineAdmin {
        private int reports;

        @Override
        public CompletableFuture<EngineReport> report(BackendServer server) {
            reports++;
            return CompletableFuture.failedFuture(new IOException("no answer in time"));
        }

        @Override
        public CompletableFuture<Boolean> order(BackendServer server, WeightsOrder order, BooleanSupplier permission) {
            throw new AssertionError("nothing is ordered here");
        }
    }
}
