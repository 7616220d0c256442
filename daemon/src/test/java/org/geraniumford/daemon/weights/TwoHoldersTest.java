package org.geraniumford.daemon.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.geraniumford.core.fleet.BackendServer;
import org.geraniumford.core.weights.LeaseSnapshot;
import org.geraniumford.core.weights.PublishedWeights;
import org.geraniumford.core.weights.WeightsLease;
import org.geraniumford.daemon.gateway.GatewayState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against two holders of the weights lease that order one engine within the handover time, because one of them
 * reads the store's clock late or its order is on its way for long.
 */
final class TwoHoldersTest {
    private static final long HANDOVER_MILLIS = 3000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long TICK_MILLIS = 20;
    private static final long LIMIT_MILLIS = 12_000;

    private final SharedRow row = new SharedRow();
    private final List<ReceivedOrder> received = new ArrayList<>();
    private final long startNanos = System.nanoTime();

    private long elapsedMillis() {
        return (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }

    /** One entry; its engine never answers an order, so that its successor orders the same engine. */
    private final class Entry {
        private final GatewayState state = GatewayState.empty("here");
        private final RolloutController controller;

        Entry(String host, long clockBehindMillis, long deliveryMillis) {
            controller = RolloutController.of(
                    host,
                    state,
                    new DelayedClock(row, clockBehindMillis),
                    new SilentEngine(deliveryMillis),
                    Duration.ofMillis(HANDOVER_MILLIS),
                    Duration.ofSeconds(8),
                    new Random());
            state.directory()
                    .register(new BackendServer(
                            "engine", 1, "engines", "10.0.0.1:80", "here", 8, false, Map.of("model", 1)));
        }

        void publish() {
            state.recordPublishedWeights(new PublishedWeights("model", 2, 0, 0, true), "store");
        }

        /** Acts until the engine has received a number of orders. */
        void actUntilReceived(int orders) throws InterruptedException {
            publish();
            long limitMillis = elapsedMillis() + LIMIT_MILLIS;
            while (received.size() < orders && elapsedMillis() < limitMillis) {
                controller.tick();
                TimeUnit.MILLISECONDS.sleep(TICK_MILLIS);
            }
            assertThat(received).hasSize(orders);
        }
    }

    /** Lets the first entry order the engine and end, and then the second one; returns the time between the orders. */
    private long handover(Entry first, Entry second) throws InterruptedException {
        second.controller.tick();
        first.actUntilReceived(1);
        second.actUntilReceived(2);
        return distance();
    }

    private long distance() {
        assertThat(received.get(1).fencingToken()).isGreaterThan(received.get(0).fencingToken());
        return received.get(1).millis() - received.get(0).millis();
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 3000, 20_000})
    void shouldKeepTheHandoverTimeWhenTheFirstHolderReadsTheClockLate(long behindMillis) throws Exception {
        assertThat(handover(new Entry("first", behindMillis, 0), new Entry("second", 0, 0)))
                .isGreaterThan(HANDOVER_MILLIS);
    }

    @Test
    void shouldKeepTheHandoverTimeWhenTheFirstOrderIsOnItsWayForLong() throws Exception {
        assertThat(handover(new Entry("first", 1500, 790), new Entry("second", 0, 0)))
                .isGreaterThan(HANDOVER_MILLIS);
    }

    @Test
    void shouldKeepTheHandoverTimeWhenTheSuccessorHasJustStarted() throws Exception {
        new Entry("first", 3000, 0).actUntilReceived(1);
        new Entry("second", 0, 0).actUntilReceived(2);
        assertThat(distance()).isGreaterThan(HANDOVER_MILLIS);
    }

    /** Guards against two processes of one host, whose restart overlaps, that take each other's token for their own. */
    @Test
    void shouldRaiseTheTokenWhenAnotherProcessOfTheSameHostTakesOver() throws Exception {
        assertThat(handover(new Entry("host", 0, 0), new Entry("host", 0, 0))).isGreaterThan(HANDOVER_MILLIS);
    }

    /** Guards against tokens that start again, and against orders of which only the removed row told. */
    @Test
    void shouldKeepTheHandoverTimeAndRaiseTheTokenWhenTheRowIsRemoved() throws Exception {
        Entry first = new Entry("first", 0, 0);
        Entry second = new Entry("second", 0, 0);
        second.controller.tick();
        first.actUntilReceived(1);
        row.remove();
        second.actUntilReceived(2);
        assertThat(distance()).isGreaterThan(HANDOVER_MILLIS);
    }

    /** Guards against orders that a row does not tell of, because somebody has put an earlier value back. */
    @Test
    void shouldKeepTheHandoverTimeAndRaiseTheTokenWhenTheRowIsPutBack() throws Exception {
        Entry first = new Entry("first", 0, 0);
        Entry second = new Entry("second", 0, 0);
        second.controller.tick();
        first.actUntilReceived(1);
        second.controller.applyLeaseSnapshot(row.snapshot);
        row.putBack("1 first 1000000");
        second.actUntilReceived(2);
        assertThat(distance()).isGreaterThan(HANDOVER_MILLIS);
    }

    // -- stand-ins

    private record ReceivedOrder(String holder, long fencingToken, long millis) {}

    /** The row of the lease, at a store whose versions are one counter for all rows. */
    private static final class SharedRow {
        private LeaseSnapshot snapshot = LeaseSnapshot.empty();
        private long storeVersion = 7;

        void remove() {
            storeVersion++;
            snapshot = LeaseSnapshot.empty();
        }

        void putBack(String value) {
            storeVersion++;
            snapshot = new LeaseSnapshot(storeVersion, value);
        }

        OptionalLong write(long expectedVersion, WeightsLease lease) {
            if (expectedVersion != snapshot.version()) {
                return OptionalLong.empty();
            }
            storeVersion++;
            snapshot = new LeaseSnapshot(storeVersion, lease.encode());
            return OptionalLong.of(storeVersion);
        }
    }

    /** A client of the store whose last response has waited on its way. */
    private final class DelayedClock implements LeaseStore {
        private final SharedRow row;
        private final long behindMillis;

        DelayedClock(SharedRow row, long behindMillis) {
            this.row = row;
            this.behindMillis = behindMillis;
        }

        @Override
        public CompletableFuture<LeaseSnapshot> read() {
            return CompletableFuture.completedFuture(row.snapshot);
        }

        @Override
        public CompletableFuture<OptionalLong> write(long expectedVersion, WeightsLease lease) {
            return CompletableFuture.completedFuture(row.write(expectedVersion, lease));
        }

        @Override
        public long nowMillis() {
            return 1_000_000 + elapsedMillis() - behindMillis;
        }
    }

    /** Receives orders after the time that they are on their way, and answers none. */
    private final class SilentEngine implements EngineAdmin {
        private final long deliveryMillis;

        SilentEngine(long deliveryMillis) {
            this.deliveryMillis = deliveryMillis;
        }

        @Override
        public CompletableFuture<EngineReport> report(BackendServer server) {
            return CompletableFuture.completedFuture(new EngineReport(Map.of("model", 1), false, received.size()));
        }

        @Override
        public CompletableFuture<Boolean> order(BackendServer server, WeightsOrder order) {
            received.add(new ReceivedOrder(order.holder(), order.fencingToken(), elapsedMillis() + deliveryMillis));
            return new CompletableFuture<>();
        }
    }
}
