package org.geraniumford.daemon.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against two holders of the weights lease that order one engine within the handover time, because one of them
 * reads the store's clock late, its order is on its way for long, or the row of the lease does not tell of its order.
 */
final class TwoHoldersTest {
    private static final String ENGINE = "engine";
    private static final long HANDOVER_MILLIS = 3000;
    private static final long TICK_MILLIS = 20;
    private static final long LIMIT_MILLIS = 12_000;

    private final SharedRow row = new SharedRow();
    private final List<ReceivedOrder> received = new ArrayList<>();
    private final VirtualClock clock = new VirtualClock();
    private final long startNanos = clock.nanos();
    private long engineStillUntilMillis;

    private long elapsedMillis() {
        return Duration.ofNanos(clock.nanos() - startNanos).toMillis();
    }

    /** One entry; its engine never answers an order, so that its successor orders the same engine. */
    private final class Entry {
        private final GatewayState state = GatewayState.empty("here");
        private final SilentEngine engine;
        private final RolloutController controller;

        Entry(String host, long clockBehindMillis, long deliveryMillis) {
            engine = new SilentEngine(deliveryMillis);
            controller = RolloutController.of(
                    host,
                    state,
                    new DelayedStore(row, clockBehindMillis),
                    engine,
                    new RolloutTimes(Duration.ofMillis(HANDOVER_MILLIS), Duration.ofSeconds(8)),
                    clock,
                    new Random());
            list(ENGINE, "10.0.0.1:80");
        }

        private void list(String id, String address) {
            state.directory()
                    .register(new BackendServer(id, 1, "engines", address, "here", 8, false, Map.of("model", 1)));
        }

        /** Lists another engine, so that this entry writes the row although its orders of the first one wait. */
        void listAnotherEngine() {
            list("another-engine", "10.0.0.2:80");
        }

        void publish() {
            state.recordPublishedWeights(new PublishedWeights("model", 2, 0, 0, true), "store");
        }

        /** Acts until the engine has received a number of orders, while others follow what it announces. */
        void actUntilReceived(int orders, Entry... followers) {
            publish();
            long limitMillis = Math.max(elapsedMillis(), engineStillUntilMillis) + LIMIT_MILLIS;
            while (received.size() < orders && elapsedMillis() < limitMillis) {
                controller.tick();
                Arrays.stream(followers).forEach(follower -> follower.follow(this));
                clock.advance(TICK_MILLIS);
            }
            assertThat(received).hasSize(orders);
        }

        /** Acts until it has read the row before its takeover, and decided to write it. */
        void standStillBeforeItsFirstWrite() {
            publish();
            while (row.reads < 2) {
                controller.tick();
                clock.advance(TICK_MILLIS);
            }
        }

        private void follow(Entry leader) {
            controller.applyLeaseSnapshot(leader.controller.leaseGossip());
            controller.tick();
        }
    }

    /** Lets the first entry order the engine and end, and then the second one; returns the time between the orders. */
    private long handover(Entry first, Entry second) {
        first.actUntilReceived(1, second);
        second.actUntilReceived(2);
        return distance();
    }

    private long distance() {
        assertThat(received.get(1).fencingToken()).isGreaterThan(received.get(0).fencingToken());
        return received.get(1).millis() - received.get(0).millis();
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 3000, 20_000})
    void shouldKeepTheHandoverTimeWhenTheFirstHolderReadsTheClockLate(long behindMillis) {
        assertThat(handover(new Entry("first", behindMillis, 0), new Entry("second", 0, 0)))
                .isGreaterThan(HANDOVER_MILLIS);
    }

    @Test
    void shouldKeepTheHandoverTimeWhenTheFirstOrderIsOnItsWayForLong() {
        assertThat(handover(new Entry("first", 1500, 790), new Entry("second", 0, 0)))
                .isGreaterThan(HANDOVER_MILLIS);
    }

    @Test
    void shouldKeepTheHandoverTimeWhenTheSuccessorHasJustStarted() {
        new Entry("first", 3000, 0).actUntilReceived(1);
        new Entry("second", 0, 0).actUntilReceived(2);
        assertThat(distance()).isGreaterThan(HANDOVER_MILLIS);
    }

    /** Guards against two processes of one host, whose restart overlaps, that take each other's token for their own. */
    @Test
    void shouldRaiseTheTokenWhenAnotherProcessOfTheSameHostTakesOver() {
        assertThat(handover(new Entry("host", 0, 0), new Entry("host", 0, 0))).isGreaterThan(HANDOVER_MILLIS);
    }

    /** Guards against tokens that start again, and against orders of which only the removed row told. */
    @Test
    void shouldKeepTheHandoverTimeAndRaiseTheTokenWhenTheRowIsRemoved() {
        Entry first = new Entry("first", 0, 0);
        Entry second = new Entry("second", 0, 0);
        first.actUntilReceived(1, second);
        row.remove();
        second.actUntilReceived(2);
        assertThat(distance()).isGreaterThan(HANDOVER_MILLIS);
    }

    /** Guards against a write on the condition that there is no row, by a process that has read so long before. */
    @Test
    void shouldKeepTheHandoverTimeAndRaiseTheTokenWhenTheRowIsWrittenAndRemovedWhileAnotherStandsStill() {
        Entry second = new Entry("second", 0, 0);
        second.standStillBeforeItsFirstWrite();
        new Entry("first", 0, 0).actUntilReceived(1);
        row.remove();
        second.actUntilReceived(2);
        assertThat(distance()).isGreaterThan(HANDOVER_MILLIS);
    }

    /** Guards against orders that a row does not tell of, because somebody has put an earlier value back. */
    @Test
    void shouldKeepTheHandoverTimeAndRaiseTheTokenWhenTheRowIsPutBack() {
        Entry first = new Entry("first", 0, 0);
        Entry second = new Entry("second", 0, 0);
        first.actUntilReceived(1, second);
        row.putBack("1 first 1000000");
        second.actUntilReceived(2);
        assertThat(distance()).isGreaterThan(HANDOVER_MILLIS);
    }

    /** The row as the first holder wrote it before its order: the same term, and no intents. */
    private String valueBeforeTheOrder() {
        return row.snapshot.encodedLease().lines().findFirst().orElseThrow();
    }

    @Test
    void shouldKeepTheHandoverTimeWhenAnEarlierValueOfTheSameTermIsPutBack() {
        new Entry("first", 0, 0).actUntilReceived(1);
        row.putBack(valueBeforeTheOrder());
        new Entry("second", 0, 0).actUntilReceived(2);
        assertThat(distance()).isGreaterThan(HANDOVER_MILLIS);
    }

    /** Guards against a holder that has not heard of its successor and finds its own term in the row again. */
    @Test
    void shouldNotOrderUnderALowerTokenAfterItsOwnTermWasPutBack() {
        Entry first = new Entry("first", 0, 0);
        first.actUntilReceived(1);
        String value = valueBeforeTheOrder();
        new Entry("second", 0, 0).actUntilReceived(2);
        row.putBack(value);
        first.actUntilReceived(3);
        assertThat(received.get(2).fencingToken()).isGreaterThan(received.get(1).fencingToken());
    }

    /**
     * Guards against an order that waits at an engine that stands still, and is read when it goes on, together with the
     * report that the successor of its sender has asked for.
     */
    @ParameterizedTest
    @ValueSource(longs = {7000, 11_000, 20_000, 50_000})
    void shouldKeepTheHandoverTimeAtAnEngineThatStandsStillWhileAnOrderWaits(long stillMillis) {
        new Entry("first", 0, stillMillis).actUntilReceived(1);
        engineStillUntilMillis = received.get(0).millis();
        Entry second = new Entry("second", 0, 0);
        second.listAnotherEngine();
        second.actUntilReceived(2);
        assertThat(distance()).isGreaterThan(HANDOVER_MILLIS);
    }

    /** Lets the first entry order the engine while its call has no connection yet. */
    private Runnable orderWithoutConnection(Entry first) {
        first.engine.waiting = new ArrayList<>();
        first.publish();
        while (first.engine.waiting.isEmpty() && elapsedMillis() < LIMIT_MILLIS) {
            first.controller.tick();
            clock.advance(TICK_MILLIS);
        }
        return first.engine.waiting.get(0);
    }

    @Test
    void shouldNotSendAnOrderThatGetsItsConnectionAfterItsWindow() {
        Runnable connected = orderWithoutConnection(new Entry("first", 0, 0));
        clock.advance(1000);
        connected.run();
        assertThat(received).isEmpty();
    }

    @Test
    void shouldNotSendAnOrderAfterItsHostWasSuspended() {
        Runnable connected = orderWithoutConnection(new Entry("first", 0, 0));
        clock.suspend(1000);
        connected.run();
        assertThat(received).isEmpty();
    }

    @Test
    void shouldNotSendAnOrderAfterTheLeaseWasReleased() {
        Entry first = new Entry("first", 0, 0);
        Runnable connected = orderWithoutConnection(first);
        first.controller.stop();
        connected.run();
        assertThat(received).isEmpty();
    }

    /** Guards against a write whose success arrives when another entry holds the lease already. */
    @Test
    void shouldNotActOnAWriteAfterANewerRowWasHeardOf() {
        Entry first = new Entry("first", 0, 0);
        row.delayed = new ArrayList<>();
        first.publish();
        while (row.delayed.isEmpty() && elapsedMillis() < LIMIT_MILLIS) {
            first.controller.tick();
            clock.advance(TICK_MILLIS);
        }
        first.controller.applyLeaseSnapshot(new LeaseSnapshot(1000, "1000 second 1 0 2"));
        row.delayed.forEach(Runnable::run);
        assertThat(received).isEmpty();
        assertThat(first.controller.leaseGossip().version()).isEqualTo(1000);
    }

    // -- stand-ins

    private record ReceivedOrder(String holder, long fencingToken, long millis) {}

    /** The row of the lease, at a store whose versions are one counter for all rows. */
    private static final class SharedRow {
        private LeaseSnapshot snapshot = LeaseSnapshot.empty();
        private long storeVersion = 7;
        private long writtenVersion;
        private int reads;

        /** The responses to writes that are delayed; null if they arrive at once. */
        private List<Runnable> delayed;

        void remove() {
            storeVersion++;
            snapshot = LeaseSnapshot.empty();
        }

        void putBack(String value) {
            storeVersion++;
            snapshot = new LeaseSnapshot(storeVersion, value);
        }

        OptionalLong write(LeaseVersions expected, WeightsLease lease) {
            if (!expected.equals(new LeaseVersions(snapshot.version(), writtenVersion))) {
                return OptionalLong.empty();
            }
            storeVersion++;
            writtenVersion = storeVersion;
            snapshot = new LeaseSnapshot(storeVersion, lease.encode());
            return OptionalLong.of(storeVersion);
        }
    }

    /** A client of the store whose last response has waited on its way. */
    private final class DelayedStore implements LeaseStore {
        private final SharedRow row;
        private final long behindMillis;

        DelayedStore(SharedRow row, long behindMillis) {
            this.row = row;
            this.behindMillis = behindMillis;
        }

        @Override
        public CompletableFuture<LeaseRow> read() {
            row.reads++;
            return CompletableFuture.completedFuture(new LeaseRow(row.snapshot, row.storeVersion, row.writtenVersion));
        }

        @Override
        public CompletableFuture<OptionalLong> write(LeaseVersions expected, WeightsLease lease) {
            OptionalLong newVersion = row.write(expected, lease);
            if (row.delayed == null) {
                return CompletableFuture.completedFuture(newVersion);
            }
            CompletableFuture<OptionalLong> response = new CompletableFuture<>();
            row.delayed.add(() -> response.complete(newVersion));
            return response;
        }

        @Override
        public long nowMillis() {
            return 1_000_000 + elapsedMillis() - behindMillis;
        }
    }

    /** Receives orders after the time that they are on their way, and answers none. */
    private final class SilentEngine implements EngineAdmin {
        private final long deliveryMillis;

        /** The version of another engine, which carries orders out at once. */
        private int loadedByAnother = 1;

        /** Calls that wait for their connection; null if connections are there at once. */
        private List<Runnable> waiting;

        SilentEngine(long deliveryMillis) {
            this.deliveryMillis = deliveryMillis;
        }

        @Override
        public CompletableFuture<EngineReport> report(BackendServer server) {
            if (!server.id().equals(ENGINE)) {
                return CompletableFuture.completedFuture(new EngineReport(Map.of("model", loadedByAnother), false, 0));
            }
            if (elapsedMillis() < engineStillUntilMillis) {
                return CompletableFuture.failedFuture(new IOException("no answer in time"));
            }
            return CompletableFuture.completedFuture(new EngineReport(Map.of("model", 1), false, received.size()));
        }

        @Override
        public CompletableFuture<Boolean> order(BackendServer server, WeightsOrder order, BooleanSupplier permission) {
            if (!server.id().equals(ENGINE)) {
                loadedByAnother = order.version();
                return CompletableFuture.completedFuture(true);
            }
            if (waiting == null) {
                send(order, permission);
            } else {
                waiting.add(() -> send(order, permission));
            }
            return new CompletableFuture<>();
        }

        private void send(WeightsOrder order, BooleanSupplier permission) {
            if (permission.getAsBoolean()) {
                received.add(new ReceivedOrder(order.holder(), order.fencingToken(), elapsedMillis() + deliveryMillis));
            }
        }
    }
}
