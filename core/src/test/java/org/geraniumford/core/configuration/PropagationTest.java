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

final class PropagationTest {
    private static final ConfigurationHead HEAD = new ConfigurationHead(2, "c", "d", "m", "x");

    // -- one process

    @Test
    void shouldFetchOnlyOnceWhenManyPeersCarryALaterVersion() {
        Propagation.Step first = at(1).apply(new Propagation.Event.PeerVersionReceived(2), 10);
        assertThat(first.actions()).containsExactly(new Propagation.Action.FetchFromPeer(1));
        assertThat(first.next()
                        .apply(new Propagation.Event.PeerVersionReceived(3), 20)
                        .actions())
                .isEmpty();
    }

    @Test
    void shouldAskAgainWhenTheFirstPeerNeverAnswers() {
        Propagation polled = at(1).apply(new Propagation.Event.Tick(), Propagation.FETCH_TIMEOUT_MICROS)
                .next()
                .apply(new Propagation.Event.HeadRead(Optional.empty()), Propagation.FETCH_TIMEOUT_MICROS)
                .next();
        Propagation asked = polled.apply(new Propagation.Event.PeerVersionReceived(2), Propagation.FETCH_TIMEOUT_MICROS)
                .next();
        long givenUp = 2 * Propagation.FETCH_TIMEOUT_MICROS;
        Propagation later = asked.apply(new Propagation.Event.Tick(), givenUp).next();
        assertThat(later.apply(new Propagation.Event.PeerVersionReceived(2), givenUp)
                        .actions())
                .containsExactly(new Propagation.Action.FetchFromPeer(1));
    }

    @Test
    void shouldNeverFetchOrGoBackWhenAPeerOrTheStoreIsOlder() {
        Propagation held = at(5);
        assertThat(held.apply(new Propagation.Event.PeerVersionReceived(4), 0).actions())
                .isEmpty();
        assertThat(held.apply(new Propagation.Event.HeadRead(Optional.of(HEAD)), 0)
                        .actions())
                .isEmpty();
        assertThat(held.apply(new Propagation.Event.Loaded(4), 0).next().currentVersion())
                .isEqualTo(5);
    }

    @Test
    void shouldTakeTheWholeTextWhenADeltaDidNotFit() {
        assertThat(at(1).apply(new Propagation.Event.HeadRead(Optional.of(HEAD)), 0)
                        .actions())
                .containsExactly(new Propagation.Action.ReadDelta(HEAD));
        Propagation failed = at(1).apply(new Propagation.Event.FetchFailed(), 0).next();
        assertThat(failed.apply(new Propagation.Event.HeadRead(Optional.of(HEAD)), 0)
                        .actions())
                .containsExactly(new Propagation.Action.ReadText(HEAD));
        assertThat(failed.apply(new Propagation.Event.PeerVersionReceived(2), 0).actions())
                .containsExactly(new Propagation.Action.FetchFromPeer(0));
    }

    private static Propagation at(long version) {
        return Propagation.start(false, 1, 0)
                .apply(new Propagation.Event.Loaded(version), 0)
                .next();
    }

    // -- the planned size: 1,010 processes, counted in messages and store reads

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void shouldReachEveryProcessWithinTheTargetWhenAChangeIsPublished(long seed) {
        Fleet fleet = Fleet.running(1010, seed, true);
        fleet.runUntil(20_000_000);
        fleet.publishedVersion = 2;
        fleet.runUntil(27_000_000);
        assertThat(fleet.states).allMatch(state -> state.currentVersion() == 2);
        assertThat(fleet.bytesOfBusiestProcess()).isLessThan(7 * 15_000L);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void shouldReachEveryProcessByPollingAloneWhenNoPeerIsHeard(long seed) {
        Fleet fleet = Fleet.running(1010, seed, false);
        fleet.runUntil(20_000_000);
        fleet.publishedVersion = 2;
        fleet.runUntil(27_000_000);
        assertThat(fleet.states).allMatch(state -> state.currentVersion() == 2);
        assertThat(fleet.peakReadsPerSecond()).isLessThan(2000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void shouldStayBelowTheStoresReadRateWhenEveryProcessRestartsAtOnce(long seed) {
        Fleet fleet = Fleet.restarting(1010, seed);
        fleet.runUntil(10_000_000);
        assertThat(fleet.states).allMatch(state -> state.currentVersion() == 1);
        assertThat(fleet.peakReadsPerSecond()).isLessThan(2000);
    }

    @Test
    void shouldSpreadFromPeersWhenTheStoreGoesDownAfterOneProcessHasTheChange() {
        Fleet fleet = Fleet.running(1010, 5, true);
        fleet.runUntil(20_000_000);
        fleet.storeDown = true;
        fleet.loadAt(0, 2);
        fleet.runUntil(27_000_000);
        assertThat(fleet.states).allMatch(state -> state.currentVersion() == 2);
    }

    /** Processes on a virtual clock, each with a few random peers, and a store that answers after a fixed time. */
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
                Comparator.comparingLong(ScheduledTask::at).thenComparingLong(ScheduledTask::order));
        private final Random random;
        private final boolean gossip;
        private long publishedVersion = 1;
        private boolean storeDown;
        private long now;
        private long order;

        private record ScheduledTask(long at, long order, Runnable work) {}

        private Fleet(int size, long seed, long held, boolean gossip) {
            this.random = new Random(seed);
            this.gossip = gossip;
            this.bytesByProcess = new long[size];
            for (int i = 0; i < size; i++) {
                int process = i;
                Propagation start = Propagation.start(false, random.nextLong(), 0);
                states.add(
                        held == 0
                                ? start
                                : start.apply(new Propagation.Event.Loaded(held), 0)
                                        .next());
                schedule(random.nextLong(TICK_MICROS), () -> tick(process));
            }
        }

        static Fleet running(int size, long seed, boolean gossip) {
            return new Fleet(size, seed, 1, gossip);
        }

        static Fleet restarting(int size, long seed) {
            return new Fleet(size, seed, 0, true);
        }

        void runUntil(long end) {
            while (queue.peek().at() <= end) {
                ScheduledTask due = queue.poll();
                now = due.at();
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

        private void apply(int process, int peer, Propagation.Event event) {
            Propagation.Step step = states.get(process).apply(event, now);
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
            } else if (action instanceof Propagation.Action.Announce && gossip) {
                peers(process).forEach(other -> announce(process, other));
            } else if (action instanceof Propagation.Action.FetchFromPeers ask && gossip) {
                peers(process).forEach(other -> requestFromPeer(process, other, ask.newerThan()));
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
                long theirs = states.get(peer).currentVersion();
                boolean later = theirs > newerThan;
                Propagation.Event answer =
                        later ? new Propagation.Event.Loaded(theirs) : new Propagation.Event.NoNewerVersion();
                send(peer, process, later ? DELTA_BYTES : MESSAGE_BYTES, () -> apply(process, peer, answer));
            });
        }

        private void announce(int process, int other) {
            long version = states.get(process).currentVersion();
            send(
                    process,
                    other,
                    MESSAGE_BYTES,
                    () -> apply(other, process, new Propagation.Event.PeerVersionReceived(version)));
        }

        private void readStore(int process, Supplier<Propagation.Event> event) {
            readsBySecond.merge(now / 1_000_000, 1, Integer::sum);
            schedule(
                    2 * LATENCY_MICROS,
                    () -> apply(process, process, storeDown ? new Propagation.Event.StoreFailed() : event.get()));
        }

        private void send(int from, int to, int size, Runnable arrival) {
            bytesByProcess[from] += size;
            bytesByProcess[to] += size;
            schedule(LATENCY_MICROS, arrival);
        }

        private void schedule(long delay, Runnable work) {
            queue.add(new ScheduledTask(now + delay, order++, work));
        }

        private static ConfigurationHead head(long version) {
            return new ConfigurationHead(version, "c", "d", "m", "x");
        }
    }
}
