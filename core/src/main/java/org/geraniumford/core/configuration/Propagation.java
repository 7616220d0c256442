package org.geraniumford.core.configuration;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;

/**
 * Decides when a process fetches a later configuration, and from where: from a peer that carries a later version, or by
 * polling the head row. One fetch runs at a time. Immutable.
 *
 * @param currentVersion the version in force
 * @param fetchDeadlineMicros when the running fetch is given up; 0 if none runs
 * @param pollAtMicros when the head row is read next
 * @param failures how many polls failed in a row
 * @param fullFetch whether the next fetch takes the whole text, because a delta did not fit
 * @param randomState the state of the jitter
 */
public record Propagation(
        long currentVersion,
        long fetchDeadlineMicros,
        long pollAtMicros,
        int failures,
        boolean fullFetch,
        long randomState) {
    /** The longest time between two polls of the head row, in microseconds. */
    public static final long MAX_POLL_INTERVAL_MICROS = 5_000_000;

    /** The time after which a fetch is given up, in microseconds. */
    public static final long FETCH_TIMEOUT_MICROS = 1_000_000;

    /** The time that peers have to answer before a new process asks the store, in microseconds. */
    public static final long PEER_GRACE_MICROS = 300_000;

    private static final long START_JITTER_MICROS = 200_000;
    private static final long START_JITTER_WITH_PEERS_MICROS = 1_000_000;
    private static final long BASE_BACKOFF_MICROS = 250_000;
    private static final int MAX_BACKOFF_DOUBLINGS = 4;
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
        record PeerVersionReceived(long version) implements Event {}

        /**
         * A configuration was put in force.
         *
         * @param version its version
         */
        record Loaded(long version) implements Event {}

        /** A peer that was asked holds nothing later. */
        record NoNewerVersion() implements Event {}

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
        record FetchFromPeer(long newerThan) implements Action {}

        /**
         * Asks a few peers, because the store does not answer.
         *
         * @param newerThan the version held
         */
        record FetchFromPeers(long newerThan) implements Action {}

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
    public record Step(Propagation next, List<Action> actions) {
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
    public static Propagation start(boolean peers, long seed, long nowMicros) {
        Propagation blank = new Propagation(0, 0, nowMicros, 0, false, seed).withNextRandomState();
        long wait = peers
                ? PEER_GRACE_MICROS + blank.jitter(START_JITTER_WITH_PEERS_MICROS)
                : blank.jitter(START_JITTER_MICROS);
        return blank.withPollAt(nowMicros + wait);
    }

    // -- queries

    /**
     * Says whether a fetch runs.
     *
     * @return true until it ends or is given up
     */
    public boolean isFetching() {
        return fetchDeadlineMicros > 0;
    }

    /**
     * Decides what to do about an event.
     *
     * @param event what happened
     * @param nowMicros the time
     * @return the next state and the actions
     */
    public Step apply(Event event, long nowMicros) {
        if (event instanceof Event.PeerVersionReceived seen) {
            return handlePeerVersion(seen.version(), nowMicros);
        } else if (event instanceof Event.Loaded loaded) {
            return handleLoaded(loaded.version());
        } else if (event instanceof Event.NoNewerVersion) {
            return stepWithoutActions(withFetchDeadline(0));
        } else if (event instanceof Event.FetchFailed) {
            return stepWithoutActions(withFetchDeadline(0).withFullFetch(true));
        } else if (event instanceof Event.HeadRead read) {
            return handleHead(read.head(), nowMicros);
        } else if (event instanceof Event.StoreFailed) {
            return handleStoreFailure(nowMicros);
        }
        return handleTick(nowMicros);
    }

    // -- events

    private Step handleLoaded(long version) {
        Propagation next = withFetchDeadline(0).withFailures(0).withFullFetch(false);
        return version <= currentVersion
                ? stepWithoutActions(next)
                : new Step(next.withCurrentVersion(version), List.of(new Action.Announce()));
    }

    private Step handlePeerVersion(long version, long nowMicros) {
        return version <= currentVersion || isFetching()
                ? stepWithoutActions(this)
                : new Step(
                        withFetchDeadline(nowMicros + FETCH_TIMEOUT_MICROS),
                        List.of(new Action.FetchFromPeer(fullFetch ? 0 : currentVersion)));
    }

    private Step handleTick(long nowMicros) {
        Propagation current = isFetching() && nowMicros >= fetchDeadlineMicros ? withFetchDeadline(0) : this;
        return current.isFetching() || nowMicros < pollAtMicros
                ? stepWithoutActions(current)
                : new Step(
                        current.withNextPoll(MAX_POLL_INTERVAL_MICROS, nowMicros)
                                .withFetchDeadline(nowMicros + FETCH_TIMEOUT_MICROS),
                        List.of(new Action.ReadHead()));
    }

    private Step handleHead(Optional<ConfigurationHead> head, long nowMicros) {
        Optional<ConfigurationHead> later = head.filter(found -> found.version() > currentVersion);
        return later.map(found ->
                        new Step(withFetchDeadline(nowMicros + FETCH_TIMEOUT_MICROS), List.of(readAction(found))))
                .orElseGet(() -> stepWithoutActions(withFetchDeadline(0).withFailures(0)));
    }

    private Action readAction(ConfigurationHead head) {
        boolean delta = !fullFetch
                && currentVersion > 0
                && head.version() == currentVersion + 1
                && !head.deltaDigest().isEmpty();
        return delta ? new Action.ReadDelta(head) : new Action.ReadText(head);
    }

    private Step handleStoreFailure(long nowMicros) {
        long wait =
                Math.min(MAX_POLL_INTERVAL_MICROS, BASE_BACKOFF_MICROS << Math.min(failures, MAX_BACKOFF_DOUBLINGS));
        long interval = currentVersion == 0 ? wait : MAX_POLL_INTERVAL_MICROS;
        return new Step(
                withFetchDeadline(0).withFailures(failures + 1).withNextPoll(interval, nowMicros),
                List.of(new Action.FetchFromPeers(fullFetch ? 0 : currentVersion)));
    }

    // -- parts

    private static Step stepWithoutActions(Propagation next) {
        return new Step(next, List.of());
    }

    private Propagation withNextPoll(long interval, long nowMicros) {
        Propagation shuffled = withNextRandomState();
        return shuffled.withPollAt(nowMicros + interval / 2 + shuffled.jitter(interval / 2));
    }

    private long jitter(long bound) {
        return Long.remainderUnsigned(randomState >>> 1, bound);
    }

    private Propagation withNextRandomState() {
        long mixed = (randomState + MIX_ADD) ^ (randomState >>> 30);
        mixed = mixed * MIX_MULTIPLY;
        return new Propagation(
                currentVersion, fetchDeadlineMicros, pollAtMicros, failures, fullFetch, mixed ^ (mixed >>> 27));
    }

    private Propagation withCurrentVersion(long version) {
        return new Propagation(version, fetchDeadlineMicros, pollAtMicros, failures, fullFetch, randomState);
    }

    private Propagation withFetchDeadline(long micros) {
        return new Propagation(currentVersion, micros, pollAtMicros, failures, fullFetch, randomState);
    }

    private Propagation withPollAt(long micros) {
        return new Propagation(currentVersion, fetchDeadlineMicros, micros, failures, fullFetch, randomState);
    }

    private Propagation withFullFetch(boolean next) {
        return new Propagation(currentVersion, fetchDeadlineMicros, pollAtMicros, failures, next, randomState);
    }

    private Propagation withFailures(int count) {
        return new Propagation(currentVersion, fetchDeadlineMicros, pollAtMicros, count, fullFetch, randomState);
    }
}
