package org.geraniumford.daemon.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.geraniumford.core.fleet.BackendServer;
import org.geraniumford.core.weights.LeaseRow;
import org.geraniumford.core.weights.LeaseSnapshot;
import org.geraniumford.core.weights.LeaseVersions;
import org.geraniumford.core.weights.PublishedWeights;
import org.geraniumford.core.weights.WeightsLease;
import org.geraniumford.daemon.gateway.GatewayState;
import org.junit.jupiter.api.Test;

/** Guards against engines that keep replaced weights for long, although they could be ordered. */
final class RolloutDelayTest {
    private static final long TICK_MILLIS = 50;

    private final VirtualClock clock = new VirtualClock();
    private final long startNanos = clock.nanos();
    private final Row row = new Row();
    private final Engine engine = new Engine();

    private long elapsedMillis() {
        return Duration.ofNanos(clock.nanos() - startNanos).toMillis();
    }

    private final class Entry {
        private final GatewayState state = GatewayState.empty("here");
        private final RolloutController controller;

        Entry(String host) {
            controller = RolloutController.of(
                    host,
                    state,
                    row,
                    engine,
                    new RolloutTimes(Duration.ofSeconds(3), Duration.ofSeconds(6)),
                    clock,
                    new Random());
            state.directory()
                    .register(new BackendServer(
                            "engine", 1, "engines", "10.0.0.1:80", "here", 8, false, Map.of("model", 1)));
        }

        void publish(int version) {
            state.recordPublishedWeights(new PublishedWeights("model", version, 0, 0, true), "store");
        }
    }

    /** Lets entries act for a time, or until the engine has received a number of orders. */
    private void act(long millis, int orders, List<Entry> entries) {
        long endMillis = elapsedMillis() + millis;
        while (elapsedMillis() < endMillis && engine.orderMillis.size() < orders) {
            entries.forEach(entry -> entry.controller.tick());
            entries.forEach(sender -> entries.forEach(
                    receiver -> receiver.controller.applyLeaseSnapshot(sender.controller.leaseGossip())));
            clock.advance(TICK_MILLIS);
        }
    }

    private Entry entryWithLease(String host) {
        Entry entry = new Entry(host);
        act(6000, 1, List.of(entry));
        entry.publish(2);
        return entry;
    }

    @Test
    void shouldOrderAnEngineSoonAfterItHasCarriedOutAnEarlierOrder() {
        Entry entry = entryWithLease("first");
        engine.busy = true;
        act(2000, 1, List.of(entry));
        assertThat(engine.orderMillis).isEmpty();
        engine.busy = false;
        long freeMillis = elapsedMillis();
        act(10_000, 1, List.of(entry));
        assertThat(engine.orderMillis.get(0) - freeMillis).isLessThan(2000);
    }

    /** The engine drains for long, so that its order is renewed until its holder ends. */
    @Test
    void shouldNotCountTheRenewalsOfAnOrderWhenItsHolderHasEnded() {
        Entry first = entryWithLease("first");
        Entry second = new Entry("second");
        act(1000, 1, List.of(first, second));
        act(4000, 2, List.of(first, second));
        second.publish(2);
        long endedMillis = elapsedMillis();
        act(10_000, 2, List.of(second));
        assertThat(engine.orderMillis).hasSize(2);
        assertThat(engine.orderMillis.get(1) - endedMillis).isLessThan(3000);
    }

    // -- stand-ins

    /** The row of the lease at a store whose versions are one counter for all rows. */
    private final class Row implements LeaseStore {
        private LeaseSnapshot snapshot = LeaseSnapshot.empty();
        private long version = 7;

        @Override
        public CompletableFuture<LeaseRow> read() {
            return CompletableFuture.completedFuture(new LeaseRow(snapshot, version, 0));
        }

        @Override
        public CompletableFuture<OptionalLong> write(LeaseVersions expected, WeightsLease lease) {
            if (expected.row() != snapshot.version()) {
                return CompletableFuture.completedFuture(OptionalLong.empty());
            }
            version++;
            snapshot = new LeaseSnapshot(version, lease.encode());
            return CompletableFuture.completedFuture(OptionalLong.of(version));
        }

        @Override
        public long nowMillis() {
            return 1_000_000 + elapsedMillis();
        }
    }

    /** Keeps its weights, whatever it is ordered. */
    private final class Engine implements EngineAdmin {
        private final List<Long> orderMillis = new ArrayList<>();
        private boolean busy;

        @Override
        public CompletableFuture<EngineReport> report(BackendServer server) {
            return CompletableFuture.completedFuture(new EngineReport(Map.of("model", 1), busy, orderMillis.size()));
        }

        @Override
        public CompletableFuture<Boolean> order(BackendServer server, WeightsOrder order, BooleanSupplier permission) {
            if (permission.getAsBoolean()) {
                orderMillis.add(elapsedMillis());
            }
            return CompletableFuture.completedFuture(true);
        }
    }
}
