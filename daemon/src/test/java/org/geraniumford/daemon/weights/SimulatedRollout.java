package org.geraniumford.daemon.weights;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.geraniumford.core.fleet.BackendServer;
import org.geraniumford.core.weights.LeaseRow;
import org.geraniumford.core.weights.LeaseSnapshot;
import org.geraniumford.core.weights.LeaseVersions;
import org.geraniumford.core.weights.PublishedWeights;
import org.geraniumford.core.weights.WeightsLease;
import org.geraniumford.daemon.gateway.GatewayState;

/** Entries that roll out weights to engines in virtual time, over one row of a store, with gossip and listings. */
final class SimulatedRollout {
    private static final long STEP_MILLIS = 20;
    private static final long GOSSIP_INTERVAL_MILLIS = 440;
    private static final long LISTING_INTERVAL_MILLIS = 1200;
    private static final long PEER_TIMEOUT_MILLIS = 2000;
    private static final long HANDOVER_MILLIS = 3000;
    private static final long STORE_CALL_MILLIS = 20;
    private static final Duration USABLE_STALENESS = Duration.ofSeconds(6);
    private static final long START_MILLIS = 1_000_000;

    private final VirtualClock clock = new VirtualClock();
    private final long startNanos = clock.nanos();
    private final List<Entry> entries = new ArrayList<>();
    private final List<Engine> engines = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::atMillis));
    private final Random random;

    private LeaseSnapshot row = LeaseSnapshot.empty();
    private long storeVersion = 7;
    private int reports;

    private record Event(long atMillis, Runnable action) {}

    SimulatedRollout(int entryCount, int engineCount, long seed) {
        random = new Random(seed);
        IntStream.range(0, engineCount).forEach(i -> engines.add(new Engine("engine-" + i)));
        IntStream.range(0, entryCount).forEach(i -> entries.add(new Entry("entry-" + i)));
    }

    // -- queries

    long nowMillis() {
        return START_MILLIS + Duration.ofNanos(clock.nanos() - startNanos).toMillis();
    }

    /** Returns the entry whose term the row names. */
    Entry holder() {
        return entries.stream()
                .filter(entry -> row.encodedLease().contains(' ' + entry.host + ' '))
                .findFirst()
                .orElseThrow();
    }

    /** Returns how many reports all entries have requested. */
    int reports() {
        return reports;
    }

    List<Entry> entries() {
        return List.copyOf(entries);
    }

    List<Engine> engines() {
        return engines;
    }

    long enginesBehind(int version) {
        return engines.stream().filter(engine -> engine.version < version).count();
    }

    // -- commands

    void publish(int version) {
        entries.forEach(entry -> entry.state.recordPublishedWeights(
                new PublishedWeights("model", version, nowMillis(), 0, true), "store"));
    }

    void run(long millis) {
        runUntil(() -> false, millis);
    }

    /** Runs until a condition holds, and returns the time that it took, at most the given one. */
    long runUntil(BooleanSupplier condition, long maxMillis) {
        long beginMillis = nowMillis();
        while (nowMillis() - beginMillis < maxMillis && !condition.getAsBoolean()) {
            step();
        }
        return nowMillis() - beginMillis;
    }

    private void step() {
        clock.advance(STEP_MILLIS);
        while (!events.isEmpty() && events.peek().atMillis <= nowMillis()) {
            events.remove().action.run();
        }
        List<Entry> running = entries.stream().filter(entry -> entry.running).toList();
        running.forEach(entry -> entry.lastRunMillis = nowMillis());
        running.forEach(Entry::act);
        if (isDue(GOSSIP_INTERVAL_MILLIS)) {
            running.forEach(from -> running.forEach(to -> to.hear(from)));
        }
        if (isDue(LISTING_INTERVAL_MILLIS)) {
            running.forEach(Entry::readListing);
        }
    }

    private boolean isDue(long intervalMillis) {
        return nowMillis() % intervalMillis < STEP_MILLIS;
    }

    private void schedule(long delayMillis, Runnable action) {
        events.add(new Event(nowMillis() + delayMillis, action));
    }

    /** How the store treats the calls of one entry. */
    enum StoreAccess {
        SERVED,
        REFUSED,
        SILENT,
        LATE
    }

    /** An entry with its controller. */
    final class Entry implements LeaseStore, EngineAdmin {
        private static final long STORE_TIMEOUT_MILLIS = 1500;
        private static final long LATE_MILLIS = 1200;

        private final String host;
        private final GatewayState state = GatewayState.empty("here");
        private final RolloutController controller;
        private boolean running = true;
        private boolean losesOrders;
        private StoreAccess access = StoreAccess.SERVED;
        private long lastRunMillis = START_MILLIS;

        Entry(String host) {
            this.host = host;
            state.observeSharedClock(START_MILLIS);
            controller = RolloutController.of(
                    host,
                    state,
                    this,
                    this,
                    new RolloutTimes(Duration.ofMillis(HANDOVER_MILLIS), USABLE_STALENESS),
                    clock,
                    random);
            engines.forEach(engine -> state.directory().register(engine.listed()));
        }

        // -- commands

        void setRunning(boolean isRunning) {
            running = isRunning;
        }

        void setStoreAccess(StoreAccess newAccess) {
            access = newAccess;
        }

        /** Stops this entry for a while. */
        void stopFor(long millis) {
            running = false;
            schedule(millis, () -> running = true);
        }

        /** Lets the orders of this entry get lost on their way. */
        void loseOrders() {
            losesOrders = true;
        }

        private void act() {
            state.observeSharedClock(SimulatedRollout.this.nowMillis());
            Set<String> heard = entries.stream()
                    .filter(entry -> entry != this)
                    .filter(entry -> SimulatedRollout.this.nowMillis() - entry.lastRunMillis < PEER_TIMEOUT_MILLIS)
                    .map(entry -> entry.host)
                    .collect(Collectors.toSet());
            state.updateAlivePeers(heard);
            controller.tick();
        }

        private void hear(Entry from) {
            if (from != this) {
                controller.applyLeaseSnapshot(from.controller.leaseGossip());
            }
        }

        private void readListing() {
            engines.forEach(engine -> state.directory()
                    .find(engine.id)
                    .ifPresent(server -> server.recordWeightsVersion("model", engine.version)));
        }

        // -- store

        @Override
        public CompletableFuture<LeaseRow> read() {
            return call(() -> new LeaseRow(row, storeVersion, 0));
        }

        @Override
        public CompletableFuture<OptionalLong> write(LeaseVersions expected, WeightsLease lease) {
            return call(() -> {
                if (expected.row() != row.version()) {
                    return OptionalLong.empty();
                }
                storeVersion++;
                row = new LeaseSnapshot(storeVersion, lease.encode());
                return OptionalLong.of(storeVersion);
            });
        }

        private <T> CompletableFuture<T> call(Supplier<T> action) {
            CompletableFuture<T> response = new CompletableFuture<>();
            Runnable failure = () ->
                    completeIfRunning(() -> response.completeExceptionally(new IllegalStateException("no answer")));
            switch (access) {
                case SERVED -> schedule(STORE_CALL_MILLIS / 2, () -> answer(response, action.get(), 0));
                case LATE -> schedule(STORE_CALL_MILLIS / 2, () -> answer(response, action.get(), LATE_MILLIS));
                case REFUSED -> schedule(STORE_CALL_MILLIS, failure);
                case SILENT -> schedule(STORE_TIMEOUT_MILLIS, failure);
                default -> throw new IllegalStateException("no case for " + access);
            }
            return response;
        }

        private <T> void answer(CompletableFuture<T> response, T value, long delayMillis) {
            schedule(STORE_CALL_MILLIS / 2 + delayMillis, () -> completeIfRunning(() -> response.complete(value)));
        }

        private void completeIfRunning(Runnable completion) {
            if (running) {
                completion.run();
            }
        }

        @Override
        public long nowMillis() {
            return SimulatedRollout.this.nowMillis();
        }

        // -- engines

        @Override
        public CompletableFuture<EngineReport> report(BackendServer server) {
            reports++;
            return CompletableFuture.completedFuture(engine(server).report());
        }

        @Override
        public CompletableFuture<Boolean> order(BackendServer server, WeightsOrder order, BooleanSupplier permission) {
            if (!permission.getAsBoolean()) {
                return CompletableFuture.completedFuture(false);
            }
            if (losesOrders) {
                CompletableFuture<Boolean> response = new CompletableFuture<>();
                schedule(
                        EngineAdmin.DELIVERY_TIME.toMillis(),
                        () -> completeIfRunning(
                                () -> response.completeExceptionally(new IllegalStateException("lost"))));
                return response;
            }
            return CompletableFuture.completedFuture(engine(server).accept(order));
        }

        private Engine engine(BackendServer server) {
            Predicate<Engine> named = engine -> engine.id.equals(server.id());
            return engines.stream().filter(named).findFirst().orElseThrow();
        }
    }

    /** An engine that drains, loads and then serves with new weights. */
    final class Engine {
        private static final long USUAL_DRAIN_MILLIS = 1500;
        private static final long LOAD_MILLIS = 500;

        private final String id;
        private int version = 1;
        private boolean busy;
        private long sequence;
        private long drainMillis = USUAL_DRAIN_MILLIS;

        Engine(String id) {
            this.id = id;
        }

        /** Sets how long the requests that run at the next order take to end. */
        void setDrainMillis(long millis) {
            drainMillis = millis;
        }

        boolean isBusy() {
            return busy;
        }

        private BackendServer listed() {
            return new BackendServer(id, 1, "engines", "10.0.0.1:80", "here", 8, false, Map.of("model", version));
        }

        private EngineReport report() {
            return new EngineReport(Map.of("model", version), busy, sequence);
        }

        private boolean accept(WeightsOrder order) {
            if (version >= order.version()) {
                return true;
            }
            if (busy || order.expectedSequence() != sequence) {
                return false;
            }
            busy = true;
            sequence++;
            schedule(drainMillis + LOAD_MILLIS, () -> {
                busy = false;
                version = order.version();
            });
            return true;
        }
    }
}
