package org.geraniumford.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a published version that reaches some process too late or never, and against propagation that
 * overloads the store or a process.
 */
final class PropagationTest {
    private static final ConfigurationHead HEAD = new ConfigurationHead(2, "c", "d", "m", "x");

    // -- one process

    @Test
    void shouldFetchOnlyOnceWhenSeveralPeersSendANewerVersion() {
        Propagation.Step first = stateAtVersion(1).apply(new Propagation.Event.PeerVersionReceived(2), 10);
        assertThat(first.actions()).containsExactly(new Propagation.Action.FetchFromPeer(1));
        assertThat(first.next()
                        .apply(new Propagation.Event.PeerVersionReceived(3), 20)
                        .actions())
                .isEmpty();
    }

    @Test
    void shouldFetchAgainWhenTheFirstPeerDoesNotRespond() {
        // The poll ensures that no other poll is due when the fetch is abandoned.
        Propagation polled = stateAtVersion(1)
                .apply(new Propagation.Event.Tick(), Propagation.FETCH_TIMEOUT_MICROS)
                .next()
                .apply(new Propagation.Event.HeadRead(Optional.empty()), Propagation.FETCH_TIMEOUT_MICROS)
                .next();
        Propagation fetching = polled.apply(
                        new Propagation.Event.PeerVersionReceived(2), Propagation.FETCH_TIMEOUT_MICROS)
                .next();
        long fetchDeadlineMicros = 2 * Propagation.FETCH_TIMEOUT_MICROS;
        Propagation timedOut = fetching.apply(new Propagation.Event.Tick(), fetchDeadlineMicros)
                .next();
        assertThat(timedOut.apply(new Propagation.Event.PeerVersionReceived(2), fetchDeadlineMicros)
                        .actions())
                .containsExactly(new Propagation.Action.FetchFromPeer(1));
    }

    @Test
    void shouldNeitherFetchNorDowngradeWhenAPeerOrTheStoreHasAnOlderVersion() {
        Propagation current = stateAtVersion(5);
        assertThat(current.apply(new Propagation.Event.PeerVersionReceived(4), 0)
                        .actions())
                .isEmpty();
        assertThat(current.apply(new Propagation.Event.HeadRead(Optional.of(HEAD)), 0)
                        .actions())
                .isEmpty();
        assertThat(current.apply(new Propagation.Event.Loaded(4), 0).next().currentVersion())
                .isEqualTo(5);
    }

    @Test
    void shouldFetchTheWholeTextWhenADeltaCouldNotBeApplied() {
        assertThat(stateAtVersion(1)
                        .apply(new Propagation.Event.HeadRead(Optional.of(HEAD)), 0)
                        .actions())
                .containsExactly(new Propagation.Action.ReadDelta(HEAD));
        Propagation failed =
                stateAtVersion(1).apply(new Propagation.Event.FetchFailed(), 0).next();
        assertThat(failed.apply(new Propagation.Event.HeadRead(Optional.of(HEAD)), 0)
                        .actions())
                .containsExactly(new Propagation.Action.ReadText(HEAD));
        assertThat(failed.apply(new Propagation.Event.PeerVersionReceived(2), 0).actions())
                .containsExactly(new Propagation.Action.FetchFromPeer(0));
    }

    private static Propagation stateAtVersion(long version) {
        return Propagation.start(false, 1, 0)
                .apply(new Propagation.Event.Loaded(version), 0)
                .next();
    }

    // -- the planned size, 1,010 processes: time, bytes of messages and reads from the store

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void shouldReachEveryProcessWithinTheTargetTimeWhenAChangeIsPublished(long seed) {
        Fleet fleet = Fleet.running(1010, seed, true);
        fleet.runUntil(20_000_000);
        fleet.publishedVersion = 2;
        fleet.runUntil(27_000_000);
        assertThat(fleet.states).allMatch(state -> state.currentVersion() == 2);
        // 15,000 bytes per second over the 7 s since the change was published
        assertThat(fleet.bytesOfBusiestProcess()).isLessThan(7 * 15_000L);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void shouldReachEveryProcessByPollingAloneWhenPeersExchangeNoMessages(long seed) {
        Fleet fleet = Fleet.running(1010, seed, false);
        fleet.runUntil(20_000_000);
        fleet.publishedVersion = 2;
        fleet.runUntil(27_000_000);
        assertThat(fleet.states).allMatch(state -> state.currentVersion() == 2);
        assertThat(fleet.peakReadsPerSecond()).isLessThan(2000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void shouldStayBelowTheReadLimitOfTheStoreWhenAllProcessesRestartAtOnce(long seed) {
        Fleet fleet = Fleet.restarting(1010, seed);
        fleet.runUntil(10_000_000);
        assertThat(fleet.states).allMatch(state -> state.currentVersion() == 1);
        assertThat(fleet.peakReadsPerSecond()).isLessThan(2000);
    }

    @Test
    void shouldPropagateBetweenPeersWhenTheStoreFailsAfterOneProcessLoadsTheChange() {
        Fleet fleet = Fleet.running(1010, 5, true);
        fleet.runUntil(20_000_000);
        fleet.storeDown = true;
        fleet.loadAt(0, 2);
        fleet.runUntil(27_000_000);
        assertThat(fleet.states).allMatch(state -> state.currentVersion() == 2);
    }

    /**
     * Processes on a virtual clock, each of which sends to random ones of its 20 peers, and a store that responds after
     * a fixed time.
     */
    private static final class Fleet {
        private static final long TICK_MICROS = 25_000;
        private static final long LATENCY_MICROS = 1_000;
        private static final int PEERS = 20;
        private static final int FAN_OUT = 3;
        private static final int MESSAGE_BYTES = 60;
        private static final int DELTA_BYTES = 4_000;

        private final List<Propagation> states = new ArrayList<>();
        private final long[] bytesByProcess;
        private final TreeMap<Long, Integer> readsBySecond = new TreeMap<>();
        private final PriorityQueue<ScheduledTask> queue = new PriorityQueue<>(
                Comparator.comparingLong(ScheduledTask::atMicros).thenComparingLong(ScheduledTask::order));
        private final Random random;
        private final boolean peerMessages;
        private long publishedVersion = 1;
        private boolean storeDown;
        private long nowMicros;
        private long order;

        private record ScheduledTask(long atMicros, long order, Runnable work) {}

        private Fleet(int size, long seed, long initialVersion, boolean peerMessages) {
            this.random = new Random(seed);
            this.peerMessages = peerMessages;
            this.bytesByProcess = new long[size];
            for (int i = 0; i < size; i++) {
                int process = i;
                Propagation start = Propagation.start(false, random.nextLong(), 0);
                states.add(
                        initialVersion == 0
                                ? start
                                : start.apply(new Propagation.Event.Loaded(initialVersion), 0)
                                        .next());
                schedule(random.nextLong(TICK_MICROS), () -> tick(process));
            }
        }

        /**
         * Creates processes that have version 1 in force; {@code peerMessages} is whether they announce versions to
         * peers and fetch from several peers when the store fails.
         */
        static Fleet running(int size, long seed, boolean peerMessages) {
            return new Fleet(size, seed, 1, peerMessages);
        }

        /** Creates processes that all start at time 0 without a configuration. */
        static Fleet restarting(int size, long seed) {
            return new Fleet(size, seed, 0, true);
        }

        void runUntil(long endMicros) {
            while (queue.peek().atMicros() <= endMicros) {
                ScheduledTask due = queue.poll();
                nowMicros = due.atMicros();
                due.work().run();
            }
        }

        void loadAt(int process, long version) {
            apply(process, process, new Propagation.Event.Loaded(version));
        }

        long bytesOfBusiestProcess() {
            return Arrays.stream(bytesByProcess).max().orElseThrow();
        }

        int peakReadsPerSecond() {
            return readsBySecond.values().stream()
                    .mapToInt(Integer::intValue)
                    .max()
                    .orElse(0);
        }

        private void tick(int process) {
            apply(process, process, new Propagation.Event.Tick());
            schedule(TICK_MICROS, () -> tick(process));
        }

        /**
         * Applies an event at a process; {@code peer} is the peer that caused it, or the process itself if none did.
         */
        private void apply(int process, int peer, Propagation.Event event) {
            Propagation.Step step = states.get(process).apply(event, nowMicros);
            states.set(process, step.next());
            step.actions().forEach(action -> perform(process, peer, action));
        }

        private void perform(int process, int peer, Propagation.Action action) {
            if (action instanceof Propagation.Action.FetchFromPeer) {
                send(
                        process,
                        peer,
                        MESSAGE_BYTES,
                        () -> send(
                                peer,
                                process,
                                DELTA_BYTES,
                                () -> apply(
                                        process,
                                        peer,
                                        new Propagation.Event.Loaded(
                                                states.get(peer).currentVersion()))));
            } else if (action instanceof Propagation.Action.Announce && peerMessages) {
                peers(process).forEach(other -> announce(process, other));
            } else if (action instanceof Propagation.Action.FetchFromPeers fetch && peerMessages) {
                peers(process).forEach(other -> requestFromPeer(process, other, fetch.newerThan()));
            } else if (action instanceof Propagation.Action.ReadHead) {
                readStore(process, () -> new Propagation.Event.HeadRead(Optional.of(head(publishedVersion))));
            } else if (action instanceof Propagation.Action.ReadText read) {
                readStore(
                        process, () -> new Propagation.Event.Loaded(read.head().version()));
            } else if (action instanceof Propagation.Action.ReadDelta read) {
                readStore(
                        process, () -> new Propagation.Event.Loaded(read.head().version()));
            }
        }

        private IntStream peers(int process) {
            return random.ints(FAN_OUT, 1, PEERS + 1).map(offset -> (process + offset * offset) % states.size());
        }

        private void requestFromPeer(int process, int peer, long newerThan) {
            send(process, peer, MESSAGE_BYTES, () -> {
                long peerVersion = states.get(peer).currentVersion();
                boolean isNewer = peerVersion > newerThan;
                Propagation.Event response =
                        isNewer ? new Propagation.Event.Loaded(peerVersion) : new Propagation.Event.NoNewerVersion();
                send(peer, process, isNewer ? DELTA_BYTES : MESSAGE_BYTES, () -> apply(process, peer, response));
            });
        }

        private void announce(int process, int receiver) {
            long version = states.get(process).currentVersion();
            send(
                    process,
                    receiver,
                    MESSAGE_BYTES,
                    () -> apply(receiver, process, new Propagation.Event.PeerVersionReceived(version)));
        }

        private void readStore(int process, Supplier<Propagation.Event> event) {
            readsBySecond.merge(nowMicros / 1_000_000, 1, Integer::sum);
            schedule(
                    2 * LATENCY_MICROS,
                    () -> apply(process, process, storeDown ? new Propagation.Event.StoreFailed() : event.get()));
        }

        private void send(int from, int to, int messageBytes, Runnable onArrival) {
            bytesByProcess[from] += messageBytes;
            bytesByProcess[to] += messageBytes;
            schedule(LATENCY_MICROS, onArrival);
        }

        private void schedule(long delayMicros, Runnable work) {
            queue.add(new ScheduledTask(nowMicros + delayMicros, order++, work));
        }

        private static ConfigurationHead head(long version) {
            return new ConfigurationHead(version, "c", "d", "m", "x");
        }
    }
}
