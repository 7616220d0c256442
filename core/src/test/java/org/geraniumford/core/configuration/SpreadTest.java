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

final class SpreadTest {
    private static final ConfigurationHead HEAD = new ConfigurationHead(2, "c", "d", "m", "x");

    // -- one process

    @Test
    void shouldFetchOnlyOnceWhenManyPeersCarryALaterVersion() {
        Spread.Step first = at(1).apply(new Spread.Event.PeerSeen(2), 10);
        assertThat(first.actions()).containsExactly(new Spread.Action.AskPeer(1));
        assertThat(first.next().apply(new Spread.Event.PeerSeen(3), 20).actions())
                .isEmpty();
    }

    @Test
    void shouldAskAgainWhenTheFirstPeerNeverAnswers() {
        Spread polled = at(1).apply(new Spread.Event.Tick(), Spread.FETCH_TIMEOUT_MICROS)
                .next()
                .apply(new Spread.Event.HeadRead(Optional.empty()), Spread.FETCH_TIMEOUT_MICROS)
                .next();
        Spread asked = polled.apply(new Spread.Event.PeerSeen(2), Spread.FETCH_TIMEOUT_MICROS)
                .next();
        long givenUp = 2 * Spread.FETCH_TIMEOUT_MICROS;
        Spread later = asked.apply(new Spread.Event.Tick(), givenUp).next();
        assertThat(later.apply(new Spread.Event.PeerSeen(2), givenUp).actions())
                .containsExactly(new Spread.Action.AskPeer(1));
    }

    @Test
    void shouldNeverFetchOrGoBackWhenAPeerOrTheStoreIsOlder() {
        Spread held = at(5);
        assertThat(held.apply(new Spread.Event.PeerSeen(4), 0).actions()).isEmpty();
        assertThat(held.apply(new Spread.Event.HeadRead(Optional.of(HEAD)), 0).actions())
                .isEmpty();
        assertThat(held.apply(new Spread.Event.Loaded(4), 0).next().held()).isEqualTo(5);
    }

    @Test
    void shouldTakeTheWholeTextWhenADeltaDidNotFit() {
        assertThat(at(1).apply(new Spread.Event.HeadRead(Optional.of(HEAD)), 0).actions())
                .containsExactly(new Spread.Action.ReadDelta(HEAD));
        Spread failed = at(1).apply(new Spread.Event.FetchFailed(), 0).next();
        assertThat(failed.apply(new Spread.Event.HeadRead(Optional.of(HEAD)), 0).actions())
                .containsExactly(new Spread.Action.ReadText(HEAD));
        assertThat(failed.apply(new Spread.Event.PeerSeen(2), 0).actions())
                .containsExactly(new Spread.Action.AskPeer(0));
    }

    private static Spread at(long version) {
        return Spread.start(false, 1, 0)
                .apply(new Spread.Event.Loaded(version), 0)
                .next();
    }

    // -- the planned size: 1,010 processes, counted in messages and store reads

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void shouldReachEveryProcessWithinTheTargetWhenAChangeIsPublished(long seed) {
        Fleet fleet = Fleet.running(1010, seed, true);
        fleet.runUntil(20_000_000);
        fleet.published = 2;
        fleet.runUntil(27_000_000);
        assertThat(fleet.states).allMatch(state -> state.held() == 2);
        assertThat(fleet.bytesOfBusiestProcess()).isLessThan(7 * 15_000L);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void shouldReachEveryProcessByPollingAloneWhenNoPeerIsHeard(long seed) {
        Fleet fleet = Fleet.running(1010, seed, false);
        fleet.runUntil(20_000_000);
        fleet.published = 2;
        fleet.runUntil(27_000_000);
        assertThat(fleet.states).allMatch(state -> state.held() == 2);
        assertThat(fleet.peakReadsInASecond()).isLessThan(2000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void shouldStayBelowTheStoresReadRateWhenEveryProcessRestartsAtOnce(long seed) {
        Fleet fleet = Fleet.restarting(1010, seed);
        fleet.runUntil(10_000_000);
        assertThat(fleet.states).allMatch(state -> state.held() == 1);
        assertThat(fleet.peakReadsInASecond()).isLessThan(2000);
    }

    @Test
    void shouldSpreadFromPeersWhenTheStoreGoesDownAfterOneProcessHasTheChange() {
        Fleet fleet = Fleet.running(1010, 5, true);
        fleet.runUntil(20_000_000);
        fleet.storeDown = true;
        fleet.loadAt(0, 2);
        fleet.runUntil(27_000_000);
        assertThat(fleet.states).allMatch(state -> state.held() == 2);
    }

    /** Processes on a virtual clock, each with a few random peers, and a store that answers after a fixed time. */
    private static final class Fleet {
        private static final long TICK_MICROS = 25_000;
        private static final long LATENCY_MICROS = 1_000;
        private static final int PEERS = 20;
        private static final int FAN_OUT = 3;
        private static final int MESSAGE_BYTES = 60;
        private static final int DELTA_BYTES = 4_000;

        private final List<Spread> states = new ArrayList<>();
        private final long[] bytes;
        private final TreeMap<Long, Integer> readsBySecond = new TreeMap<>();
        private final PriorityQueue<Due> queue =
                new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
        private final Random random;
        private final boolean gossip;
        private long published = 1;
        private boolean storeDown;
        private long now;
        private long order;

        private record Due(long at, long order, Runnable work) {}

        private Fleet(int size, long seed, long held, boolean gossip) {
            this.random = new Random(seed);
            this.gossip = gossip;
            this.bytes = new long[size];
            for (int i = 0; i < size; i++) {
                int process = i;
                Spread start = Spread.start(false, random.nextLong(), 0);
                states.add(
                        held == 0
                                ? start
                                : start.apply(new Spread.Event.Loaded(held), 0).next());
                at(random.nextLong(TICK_MICROS), () -> tick(process));
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
                Due due = queue.poll();
                now = due.at();
                due.work().run();
            }
        }

        void loadAt(int process, long version) {
            apply(process, process, new Spread.Event.Loaded(version));
        }

        long bytesOfBusiestProcess() {
            return Arrays.stream(bytes).max().orElseThrow();
        }

        int peakReadsInASecond() {
            return readsBySecond.values().stream()
                    .mapToInt(Integer::intValue)
                    .max()
                    .orElse(0);
        }

        private void tick(int process) {
            apply(process, process, new Spread.Event.Tick());
            at(TICK_MICROS, () -> tick(process));
        }

        private void apply(int process, int peer, Spread.Event event) {
            Spread.Step step = states.get(process).apply(event, now);
            states.set(process, step.next());
            step.actions().forEach(action -> perform(process, peer, action));
        }

        private void perform(int process, int peer, Spread.Action action) {
            if (action instanceof Spread.Action.AskPeer) {
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
                                        new Spread.Event.Loaded(states.get(peer).held()))));
            } else if (action instanceof Spread.Action.Announce && gossip) {
                peers(process).forEach(other -> announce(process, other));
            } else if (action instanceof Spread.Action.AskPeers ask && gossip) {
                peers(process).forEach(other -> ask(process, other, ask.newerThan()));
            } else if (action instanceof Spread.Action.ReadHead) {
                read(process, () -> new Spread.Event.HeadRead(Optional.of(head(published))));
            } else if (action instanceof Spread.Action.ReadText read) {
                read(process, () -> new Spread.Event.Loaded(read.head().version()));
            } else if (action instanceof Spread.Action.ReadDelta read) {
                read(process, () -> new Spread.Event.Loaded(read.head().version()));
            }
        }

        private IntStream peers(int process) {
            return random.ints(FAN_OUT, 1, PEERS + 1).map(offset -> (process + offset * offset) % states.size());
        }

        private void ask(int process, int peer, long newerThan) {
            send(process, peer, MESSAGE_BYTES, () -> {
                long theirs = states.get(peer).held();
                boolean later = theirs > newerThan;
                Spread.Event answer = later ? new Spread.Event.Loaded(theirs) : new Spread.Event.NothingLater();
                send(peer, process, later ? DELTA_BYTES : MESSAGE_BYTES, () -> apply(process, peer, answer));
            });
        }

        private void announce(int process, int other) {
            long version = states.get(process).held();
            send(process, other, MESSAGE_BYTES, () -> apply(other, process, new Spread.Event.PeerSeen(version)));
        }

        private void read(int process, Supplier<Spread.Event> event) {
            readsBySecond.merge(now / 1_000_000, 1, Integer::sum);
            at(
                    2 * LATENCY_MICROS,
                    () -> apply(process, process, storeDown ? new Spread.Event.StoreFailed() : event.get()));
        }

        private void send(int from, int to, int size, Runnable arrival) {
            bytes[from] += size;
            bytes[to] += size;
            at(LATENCY_MICROS, arrival);
        }

        private void at(long delay, Runnable work) {
            queue.add(new Due(now + delay, order++, work));
        }

        private static ConfigurationHead head(long version) {
            return new ConfigurationHead(version, "c", "d", "m", "x");
        }
    }
}
