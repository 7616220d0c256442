package org.geraniumford.core.configuration;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;

/**
 * Decides when a process fetches a later configuration, and from where: from a peer that carries a later version, or by
 * polling the head row. One fetch runs at a time. Immutable.
 *
 * @param held the version in force
 * @param fetchUntilMicros when the running fetch is given up; 0 if none runs
 * @param pollAtMicros when the head row is read next
 * @param failures how many polls failed in a row
 * @param whole whether the next fetch takes the whole text, because a delta did not fit
 * @param random the state of the jitter
 */
public record Spread(long held, long fetchUntilMicros, long pollAtMicros, int failures, boolean whole, long random) {
    /** The longest time between two polls of the head row, in microseconds. */
    public static final long POLL_MICROS = 5_000_000;

    /** The time after which a fetch is given up, in microseconds. */
    public static final long FETCH_TIMEOUT_MICROS = 1_000_000;

    /** The time that peers have to answer before a new process asks the store, in microseconds. */
    public static final long PEER_GRACE_MICROS = 300_000;

    private static final long START_JITTER_MICROS = 200_000;
    private static final long HERD_JITTER_MICROS = 1_000_000;
    private static final long RETRY_MICROS = 250_000;
    private static final int MAX_DOUBLINGS = 4;
    private static final long MIX_ADD = 0x9E3779B97F4A7C15L;
    private static final long MIX_MULTIPLY = 0xBF58476D1CE4E5B9L;

    /** What happens to a process. */
    public sealed interface Event {
        /** Time passes. */
        record Tick() implements Event {}

        /**
         * A peer's message carries the version that the peer holds.
         *
         * @param version that version
         */
        record PeerSeen(long version) implements Event {}

        /**
         * A configuration was put in force.
         *
         * @param version its version
         */
        record Loaded(long version) implements Event {}

        /** A peer that was asked holds nothing later. */
        record NothingLater() implements Event {}

        /** What a fetch brought cannot be used. */
        record FetchFailed() implements Event {}

        /**
         * The head row was read.
         *
         * @param head the row, or empty if nothing was ever published
         */
        record HeadRead(Optional<ConfigurationHead> head) implements Event {}

        /** The store did not answer. */
        record StoreFailed() implements Event {}
    }

    /** What the process does about it. */
    public sealed interface Action {
        /**
         * Asks the peer whose message was seen.
         *
         * @param newerThan the version held
         */
        record AskPeer(long newerThan) implements Action {}

        /**
         * Asks a few peers, because the store does not answer.
         *
         * @param newerThan the version held
         */
        record AskPeers(long newerThan) implements Action {}

        /** Reads the head row. */
        record ReadHead() implements Action {}

        /**
         * Reads the delta from the version held.
         *
         * @param head the head row that names it
         */
        record ReadDelta(ConfigurationHead head) implements Action {}

        /** Tells a few peers of the version held. */
        record Announce() implements Action {}

        /**
         * Reads the merged text.
         *
         * @param head the head row that names it
         */
        record ReadText(ConfigurationHead head) implements Action {}
    }

    /**
     * The outcome of one event.
     *
     * @param next the state after it
     * @param actions what to do
     */
    public record Step(Spread next, List<Action> actions) {
        /** Copies the list. */
        public Step {
            requireNonNull(next, "next is null");
            actions = List.copyOf(actions);
        }
    }

    // -- construction

    /**
     * Returns the state of a process that starts without a configuration.
     *
     * @param peers whether it has peers to ask first
     * @param seed makes its jitter differ from that of other processes
     * @param nowMicros the time
     * @return the first state
     */
    public static Spread start(boolean peers, long seed, long nowMicros) {
        Spread blank = new Spread(0, 0, nowMicros, 0, false, seed).shuffled();
        long wait = peers ? PEER_GRACE_MICROS + blank.jitter(HERD_JITTER_MICROS) : blank.jitter(START_JITTER_MICROS);
        return blank.pollAt(nowMicros + wait);
    }

    // -- queries

    /**
     * Says whether a fetch runs.
     *
     * @return true until it ends or is given up
     */
    public boolean fetching() {
        return fetchUntilMicros > 0;
    }

    /**
     * Decides what to do about an event.
     *
     * @param event what happened
     * @param nowMicros the time
     * @return the next state and the actions
     */
    public Step apply(Event event, long nowMicros) {
        if (event instanceof Event.PeerSeen seen) {
            return peerSeen(seen.version(), nowMicros);
        } else if (event instanceof Event.Loaded loaded) {
            return loaded(loaded.version());
        } else if (event instanceof Event.NothingLater) {
            return idle(fetchUntil(0));
        } else if (event instanceof Event.FetchFailed) {
            return idle(fetchUntil(0).withWhole(true));
        } else if (event instanceof Event.HeadRead read) {
            return headRead(read.head(), nowMicros);
        } else if (event instanceof Event.StoreFailed) {
            return storeFailed(nowMicros);
        }
        return tick(nowMicros);
    }

    // -- events

    private Step loaded(long version) {
        Spread next = fetchUntil(0).withFailures(0).withWhole(false);
        return version <= held ? idle(next) : new Step(next.withHeld(version), List.of(new Action.Announce()));
    }

    private Step peerSeen(long version, long nowMicros) {
        return version <= held || fetching()
                ? idle(this)
                : new Step(fetchUntil(nowMicros + FETCH_TIMEOUT_MICROS), List.of(new Action.AskPeer(whole ? 0 : held)));
    }

    private Step tick(long nowMicros) {
        Spread current = fetching() && nowMicros >= fetchUntilMicros ? fetchUntil(0) : this;
        return current.fetching() || nowMicros < pollAtMicros
                ? idle(current)
                : new Step(
                        current.nextPoll(POLL_MICROS, nowMicros).fetchUntil(nowMicros + FETCH_TIMEOUT_MICROS),
                        List.of(new Action.ReadHead()));
    }

    private Step headRead(Optional<ConfigurationHead> head, long nowMicros) {
        Optional<ConfigurationHead> later = head.filter(found -> found.version() > held);
        return later.map(found -> new Step(fetchUntil(nowMicros + FETCH_TIMEOUT_MICROS), List.of(read(found))))
                .orElseGet(() -> idle(fetchUntil(0).withFailures(0)));
    }

    private Action read(ConfigurationHead head) {
        boolean delta = !whole
                && held > 0
                && head.version() == held + 1
                && !head.deltaDigest().isEmpty();
        return delta ? new Action.ReadDelta(head) : new Action.ReadText(head);
    }

    private Step storeFailed(long nowMicros) {
        long wait = Math.min(POLL_MICROS, RETRY_MICROS << Math.min(failures, MAX_DOUBLINGS));
        long interval = held == 0 ? wait : POLL_MICROS;
        return new Step(
                fetchUntil(0).withFailures(failures + 1).nextPoll(interval, nowMicros),
                List.of(new Action.AskPeers(whole ? 0 : held)));
    }

    // -- parts

    private static Step idle(Spread next) {
        return new Step(next, List.of());
    }

    private Spread nextPoll(long interval, long nowMicros) {
        Spread shuffled = shuffled();
        return shuffled.pollAt(nowMicros + interval / 2 + shuffled.jitter(interval / 2));
    }

    private long jitter(long bound) {
        return Long.remainderUnsigned(random >>> 1, bound);
    }

    private Spread shuffled() {
        long mixed = (random + MIX_ADD) ^ (random >>> 30);
        mixed = mixed * MIX_MULTIPLY;
        return new Spread(held, fetchUntilMicros, pollAtMicros, failures, whole, mixed ^ (mixed >>> 27));
    }

    private Spread withHeld(long version) {
        return new Spread(version, fetchUntilMicros, pollAtMicros, failures, whole, random);
    }

    private Spread fetchUntil(long micros) {
        return new Spread(held, micros, pollAtMicros, failures, whole, random);
    }

    private Spread pollAt(long micros) {
        return new Spread(held, fetchUntilMicros, micros, failures, whole, random);
    }

    private Spread withWhole(boolean next) {
        return new Spread(held, fetchUntilMicros, pollAtMicros, failures, next, random);
    }

    private Spread withFailures(int count) {
        return new Spread(held, fetchUntilMicros, pollAtMicros, count, whole, random);
    }
}
