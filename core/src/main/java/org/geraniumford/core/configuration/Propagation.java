package org.geraniumford.core.configuration;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;

/**
 * The state machine that decides when a process fetches a newer configuration, and from where: from a peer that sent a
 * newer version number, or from the store after polling the head row. At most one fetch runs at a time. A poll counts
 * as a fetch; the requests to several peers after a failure of the store do not. Immutable.
 *
 * <p>All times are readings of a monotonic clock, in microseconds. They must not be negative, because a fetch deadline
 * of 0 or less means that no fetch runs.
 *
 * @param currentVersion the version in force; 0 before the first
 * @param fetchDeadlineMicros the time at which the running fetch is abandoned, in microseconds; 0 if none runs
 * @param pollAtMicros the time of the next poll of the head row, in microseconds
 * @param failures the number of failed reads from the store since a configuration was last loaded or a poll last found
 *     no newer version
 * @param fullFetch whether the next fetch requests the whole text, because a fetched text or delta could not be used
 * @param randomState the state of the random generator for the jitter
 */
public record Propagation(
        long currentVersion,
        long fetchDeadlineMicros,
        long pollAtMicros,
        int failures,
        boolean fullFetch,
        long randomState) {
    /** The maximum time between two polls of the head row, in microseconds. */
    public static final long MAX_POLL_INTERVAL_MICROS = 5_000_000;

    /** The time after which a running fetch is abandoned, in microseconds. */
    public static final long FETCH_TIMEOUT_MICROS = 1_000_000;

    /** The minimum time that a new process waits for its peers before it reads from the store, in microseconds. */
    public static final long PEER_GRACE_MICROS = 300_000;

    private static final long START_JITTER_MICROS = 200_000;
    private static final long START_JITTER_WITH_PEERS_MICROS = 1_000_000;
    private static final long BASE_BACKOFF_MICROS = 250_000;
    private static final int MAX_BACKOFF_DOUBLINGS = 4;

    // Constants of the SplitMix64 generator.
    private static final long MIX_ADD = 0x9E3779B97F4A7C15L;
    private static final long MIX_MULTIPLY = 0xBF58476D1CE4E5B9L;

    /** An event at a process. */
    public sealed interface Event {
        /** The periodic timer fired. */
        record Tick() implements Event {}

        /**
         * A peer sent the version that it has in force.
         *
         * @param version the peer's version
         */
        record PeerVersionReceived(long version) implements Event {}

        /**
         * A configuration was loaded.
         *
         * @param version the configuration's version
         */
        record Loaded(long version) implements Event {}

        /** The peer that received the fetch request has no newer version. */
        record NoNewerVersion() implements Event {}

        /** The fetched text or delta could not be used. */
        record FetchFailed() implements Event {}

        /**
         * The head row was read.
         *
         * @param head the row, or empty if nothing has been published or the row is not valid
         */
        record HeadRead(Optional<ConfigurationHead> head) implements Event {}

        /** A read from the store failed. */
        record StoreFailed() implements Event {}
    }

    /** An action that the process performs. */
    public sealed interface Action {
        /**
         * Requests the configuration from the peer whose {@link Event.PeerVersionReceived} led to this action.
         *
         * @param newerThan the version in force, which the response must exceed; 0 requests the whole text
         */
        record FetchFromPeer(long newerThan) implements Action {}

        /**
         * Requests the configuration from a few peers, because the store did not respond.
         *
         * @param newerThan the version in force, which the response must exceed; 0 requests the whole text
         */
        record FetchFromPeers(long newerThan) implements Action {}

        /** Reads the head row from the store. */
        record ReadHead() implements Action {}

        /**
         * Reads from the store the delta between the version in force and the next version.
         *
         * @param head the head row, which contains the delta's digest
         */
        record ReadDelta(ConfigurationHead head) implements Action {}

        /** Announces the version in force to a few peers. */
        record Announce() implements Action {}

        /**
         * Reads the merged text from the store.
         *
         * @param head the head row, which contains the text's digest
         */
        record ReadText(ConfigurationHead head) implements Action {}
    }

    /**
     * The result of an event.
     *
     * @param next the state after the event
     * @param actions the actions to perform, in order
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
     * Creates the state of a process that starts without a configuration.
     *
     * @param hasPeers whether the process has peers; if so, the first poll is delayed so that they can respond first
     * @param seed the seed of the jitter, different for each process
     * @param nowMicros the current time, in microseconds
     * @return the initial state
     */
    public static Propagation start(boolean hasPeers, long seed, long nowMicros) {
        Propagation initial = new Propagation(0, 0, nowMicros, 0, false, seed).withNextRandomState();
        long delayMicros = hasPeers
                ? PEER_GRACE_MICROS + initial.jitter(START_JITTER_WITH_PEERS_MICROS)
                : initial.jitter(START_JITTER_MICROS);
        return initial.withPollAt(nowMicros + delayMicros);
    }

    // -- queries

    /**
     * Returns whether a fetch is running.
     *
     * @return true until the fetch ends or is abandoned
     */
    public boolean isFetching() {
        return fetchDeadlineMicros > 0;
    }

    /**
     * Returns the state and the actions that follow from an event.
     *
     * @param event the event
     * @param nowMicros the current time, in microseconds
     * @return the next state and the actions
     */
    public Step apply(Event event, long nowMicros) {
        if (event instanceof Event.PeerVersionReceived received) {
            return handlePeerVersion(received.version(), nowMicros);
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
        Optional<ConfigurationHead> newerHead = head.filter(candidate -> candidate.version() > currentVersion);
        return newerHead
                .map(newer -> new Step(withFetchDeadline(nowMicros + FETCH_TIMEOUT_MICROS), List.of(readAction(newer))))
                .orElseGet(() -> stepWithoutActions(withFetchDeadline(0).withFailures(0)));
    }

    private Action readAction(ConfigurationHead head) {
        boolean useDelta = !fullFetch
                && currentVersion > 0
                && head.version() == currentVersion + 1
                && !head.deltaDigest().isEmpty();
        return useDelta ? new Action.ReadDelta(head) : new Action.ReadText(head);
    }

    private Step handleStoreFailure(long nowMicros) {
        long backoffMicros =
                Math.min(MAX_POLL_INTERVAL_MICROS, BASE_BACKOFF_MICROS << Math.min(failures, MAX_BACKOFF_DOUBLINGS));
        // A process without a configuration polls again before the regular interval has passed.
        long intervalMicros = currentVersion == 0 ? backoffMicros : MAX_POLL_INTERVAL_MICROS;
        return new Step(
                withFetchDeadline(0).withFailures(failures + 1).withNextPoll(intervalMicros, nowMicros),
                List.of(new Action.FetchFromPeers(fullFetch ? 0 : currentVersion)));
    }

    // -- helpers

    private static Step stepWithoutActions(Propagation next) {
        return new Step(next, List.of());
    }

    /** Schedules the next poll at a random time, from half the interval to the whole interval after now. */
    private Propagation withNextPoll(long intervalMicros, long nowMicros) {
        Propagation next = withNextRandomState();
        return next.withPollAt(nowMicros + intervalMicros / 2 + next.jitter(intervalMicros / 2));
    }

    private long jitter(long boundMicros) {
        return Long.remainderUnsigned(randomState >>> 1, boundMicros);
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

    private Propagation withFetchDeadline(long deadlineMicros) {
        return new Propagation(currentVersion, deadlineMicros, pollAtMicros, failures, fullFetch, randomState);
    }

    private Propagation withPollAt(long atMicros) {
        return new Propagation(currentVersion, fetchDeadlineMicros, atMicros, failures, fullFetch, randomState);
    }

    private Propagation withFullFetch(boolean required) {
        return new Propagation(currentVersion, fetchDeadlineMicros, pollAtMicros, failures, required, randomState);
    }

    private Propagation withFailures(int count) {
        return new Propagation(currentVersion, fetchDeadlineMicros, pollAtMicros, count, fullFetch, randomState);
    }
}
