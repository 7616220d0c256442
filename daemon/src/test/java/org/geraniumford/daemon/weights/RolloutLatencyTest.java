package org.geraniumford.daemon.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
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

/** Guards against new weights that are ordered late, because an order that was never issued counts as on its way. */
final class RolloutLatencyTest {
    /** How long an engine counts as loading after an order; an order that was never sent must not count. */
    private static final long ESTIMATED_LOADING_MILLIS = 5000;

    private static final long HANDOVER_MILLIS = 3000;

    /** The time for which orders of another term, or a loss of intents, hold back an order. */
    private static final long ORDER_SPACING_MILLIS = 5000;

    private static final long TICK_MILLIS = 20;
    private static final long STORE_TIMEOUT_MILLIS = 1500;
    private static final long REPORT_TIMEOUT_MILLIS = 800;

    private final VirtualClock clock = new VirtualClock();
    private final long startNanos = clock.nanos();
    private final Store store = new Store();
    private final Map<String, List<Long>> orderedMillis = new HashMap<>();
    private final List<Timer> timers = new ArrayList<>();

    private record Timer(long millis, Runnable action) {}

    private long elapsedMillis() {
        return Duration.ofNanos(clock.nanos() - startNanos).toMillis();
    }

    private <T> CompletableFuture<T> later(long delayMillis, Runnable effect, CompletableFuture<T> result) {
        CompletableFuture<T> response = new CompletableFuture<>();
        timers.add(new Timer(elapsedMillis() + delayMillis, () -> {
            effect.run();
            result.whenComplete((value, failure) -> {
                if (failure == null) {
                    response.complete(value);
                } else {
                    response.completeExceptionally(failure);
                }
            });
        }));
        return response;
    }

    /** Lets entries act until a time, while each hears at once what the others announce. */
    private void run(long untilMillis, Entry... entries) {
        while (elapsedMillis() < untilMillis) {
            List<Timer> due = timers.stream()
                    .filter(timer -> timer.millis() <= elapsedMillis())
                    .toList();
            timers.removeAll(due);
            due.forEach(timer -> timer.action().run());
            for (Entry entry : entries) {
                for (Entry other : entries) {
                    entry.controller.applyLeaseSnapshot(other.controller.leaseGossip());
                }
                entry.controller.tick();
            }
            clock.advance(TICK_MILLIS);
        }
    }

    /** Starts an entry and lets the row that never existed be written, and its spacing pass. */
    private void startCalm(Entry... entries) {
        run(8000, entries);
        assertThat(orderedMillis).isEmpty();
    }

    private long orderedAfter(String server, long sinceMillis) {
        return orderedMillis.getOrDefault(server, List.of()).stream()
                .filter(millis -> millis >= sinceMillis)
                .mapToLong(millis -> millis - sinceMillis)
                .findFirst()
                .orElse(Long.MAX_VALUE);
    }

    @Test
    void shouldOrderSoonAfterTheResponseToAWriteThatWasPerformedIsLost() {
        Entry entry = new Entry("first", "engine-1");
        startCalm(entry);
        store.losesResponses = true;
        entry.publish();
        run(8200, entry);
        store.losesResponses = false;
        run(20_000, entry);
        assertThat(orderedAfter("engine-1", 8000)).isLessThan(ESTIMATED_LOADING_MILLIS);
    }

    /** The next call begins one backoff after the lost one began, or when that one has failed. */
    @Test
    void shouldOrderSoonAfterAWriteThatWasNotPerformedIsGivenUp() {
        Entry entry = new Entry("first", "engine-1");
        startCalm(entry);
        store.losesCalls = true;
        entry.publish();
        run(8200, entry);
        store.losesCalls = false;
        run(20_000, entry);
        assertThat(orderedAfter("engine-1", 8000)).isLessThan(STORE_TIMEOUT_MILLIS + 300);
    }

    @Test
    void shouldOrderAgainSoonAfterAnOrderFailedWhileAnotherServersIntentsAreWritten() {
        Entry entry = new Entry("first", "engine-1", "engine-2", "engine-3", "engine-4", "engine-5", "engine-6");
        startCalm(entry);
        entry.engine.silent = Set.of("engine-1");
        entry.publish();
        run(9200, entry);
        entry.engine.silent = Set.of();
        run(20_000, entry);
        assertThat(orderedAfter("engine-1", 8000)).isLessThan(ESTIMATED_LOADING_MILLIS);
    }

    /** The mark of a loss stays in the row until the next write, so that each new process takes it for a new one. */
    @Test
    void shouldNotHoldBackOrdersOfANewProcessForALossThatIsLongOver() {
        Entry first = new Entry("first", "engine-1");
        run(60_000, first);
        Entry second = new Entry("second", "engine-1");
        second.publish();
        run(72_000, second);
        assertThat(orderedAfter("engine-1", 60_000)).isLessThan(ORDER_SPACING_MILLIS);
    }

    /** A renewed intent is the same order, so its successor does not wait again. */
    @Test
    void shouldNotWaitForAnOrderAgainBecauseItsIntentWasRenewed() {
        Entry first = new Entry("first", "engine-1");
        Entry second = new Entry("second", "engine-1");
        startCalm(first, second);
        first.engine.loads = false;
        first.publish();
        second.publish();
        run(12_000, first, second);
        long firstOrder = orderedAfter("engine-1", 8000);
        run(24_000, second);
        // 5 s after the sighting of the order, or 2.6 s after the last renewal, whichever is later.
        assertThat(orderedAfter("engine-1", 8000 + firstOrder + 1)).isLessThan(7000);
    }

    // -- stand-ins

    private final class Entry {
        private final GatewayState state = GatewayState.empty("here");
        private final Engine engine = new Engine(state);
        private final RolloutController controller;

        Entry(String host, String... servers) {
            controller = RolloutController.of(
                    host,
                    state,
                    store,
                    engine,
                    new RolloutTimes(Duration.ofMillis(HANDOVER_MILLIS), Duration.ofSeconds(8)),
                    clock,
                    new Random(1));
            for (String server : servers) {
                state.directory()
                        .register(new BackendServer(
                                server, 1, "engines", "10.0.0.1:80", "here", 8, false, Map.of("model", 1)));
            }
        }

        void publish() {
            state.recordPublishedWeights(new PublishedWeights("model", 2, 0, 0, true), "store");
        }
    }

    /** A store that answers after 100 ms. */
    private final class Store implements LeaseStore {
        private static final long CALL_MILLIS = 100;
        private LeaseSnapshot snapshot = LeaseSnapshot.empty();
        private long version = 7;
        private boolean losesResponses;
        private boolean losesCalls;

        @Override
        public CompletableFuture<LeaseRow> read() {
            return later(CALL_MILLIS, () -> {}, CompletableFuture.completedFuture(null))
                    .thenApply(none -> new LeaseRow(snapshot, version, 0));
        }

        @Override
        public CompletableFuture<OptionalLong> write(LeaseVersions expected, WeightsLease lease) {
            boolean lostCall = losesCalls;
            CompletableFuture<OptionalLong> answer = later(
                            CALL_MILLIS, () -> {}, CompletableFuture.completedFuture(null))
                    .thenApply(none -> lostCall ? OptionalLong.empty() : perform(expected.row(), lease));
            return losesResponses || losesCalls
                    ? later(
                            STORE_TIMEOUT_MILLIS,
                            () -> {},
                            CompletableFuture.failedFuture(new IOException("no answer in time")))
                    : answer;
        }

        private OptionalLong perform(long expectedVersion, WeightsLease lease) {
            if (expectedVersion != snapshot.version()) {
                return OptionalLong.empty();
            }
            version++;
            snapshot = new LeaseSnapshot(version, lease.encode());
            return OptionalLong.of(version);
        }

        @Override
        public long nowMillis() {
            return 1_000_000 + elapsedMillis();
        }
    }

    /** Engines that load within 500 ms and report it when they are asked. */
    private final class Engine implements EngineAdmin {
        private static final long LOAD_MILLIS = 500;
        private final GatewayState state;
        private final Map<String, Integer> loaded = new HashMap<>();
        private Set<String> silent = Set.of();
        private boolean loads = true;

        Engine(GatewayState state) {
            this.state = state;
        }

        @Override
        public CompletableFuture<EngineReport> report(BackendServer server) {
            if (silent.contains(server.id())) {
                return later(
                        REPORT_TIMEOUT_MILLIS,
                        () -> {},
                        CompletableFuture.failedFuture(new IOException("no answer in time")));
            }
            return CompletableFuture.completedFuture(
                    new EngineReport(Map.of("model", loaded.getOrDefault(server.id(), 1)), false, 0));
        }

        @Override
        public CompletableFuture<Boolean> order(BackendServer server, WeightsOrder order, BooleanSupplier permission) {
            if (!permission.getAsBoolean()) {
                return CompletableFuture.failedFuture(new IOException("no longer permitted"));
            }
            orderedMillis.computeIfAbsent(server.id(), id -> new ArrayList<>()).add(elapsedMillis());
            if (loads) {
                timers.add(new Timer(elapsedMillis() + LOAD_MILLIS, () -> {
                    loaded.put(server.id(), order.version());
                    state.directory()
                            .find(server.id())
                            .ifPresent(listed -> listed.recordWeightsVersion(order.model(), order.version()));
                }));
            }
            return CompletableFuture.completedFuture(true);
        }
    }
}
