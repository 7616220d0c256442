package org.geraniumford.daemon.streams;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.geraniumford.core.fleet.ServerDirectory;
import org.geraniumford.core.stream.StreamOrigin;
import org.geraniumford.core.stream.StreamOrigins;
import org.geraniumford.core.time.SharedClock;

/**
 * Knows at which version of its servers' software each stream was begun. Entries tell each other of the streams of
 * services whose servers have several versions, and record them in the store, where they outlast the entries. Used on
 * one network thread.
 */
public final class StreamRegistry {
    /** How long a stream is remembered; longer than any lasts, with all tries of its caller. */
    private static final Duration MEMORY = Duration.ofSeconds(40);

    /** How far back a message goes that has all that its peers may have missed. */
    private static final Duration COMPLETE_GOSSIP = Duration.ofSeconds(8);

    /** How long the result of a read holds for streams that it did not have. */
    private static final Duration READ_VALIDITY = Duration.ofMillis(250);

    /** The shortest contact time that the feed of servers can keep to, and what its calls take beyond that time. */
    private static final Duration MIN_CONTACT_TIME = Duration.ofSeconds(2);

    private static final Duration LIST_MARGIN = Duration.ofSeconds(1);

    private record ServiceVersion(String service, String version) {}

    private final SharedClock clock;
    private final SoftwareWatch software;
    private final StreamOrigins origins = StreamOrigins.empty();

    /** The streams of this entry that nobody was told of, and how long each may last. */
    private final Map<StreamOrigin, Duration> untold = new LinkedHashMap<>();

    /** The streams of this entry that peers are told of, oldest first, and those of them for the next message. */
    private final Deque<StreamOrigin> told = new ArrayDeque<>();

    private List<StreamOrigin> unannounced = new ArrayList<>();

    private Runnable unannouncedListener = () -> {};

    /** Where streams are recorded; null before {@link #recordIn}. */
    private StreamStore store;

    private StreamRecorder recorder;

    /** How old the list of servers may be that tells which versions there are. */
    private Duration maxListAge = MIN_CONTACT_TIME.plus(LIST_MARGIN);

    /** What waits until a version of a service is known to all entries. */
    private final Map<ServiceVersion, CompletableFuture<Void>> unknownVersions = new HashMap<>();

    /** Whether the store may lack streams that it had, because it has come back from a copy. */
    private boolean rowsMayBeLost;

    /** The read in progress or the last one, and when it began. */
    private CompletableFuture<StreamRecords> lastRead;

    private long lastReadMillis;

    private StreamRegistry(ServerDirectory directory, SharedClock clock, RandomGenerator random) {
        this.clock = clock;
        this.software = new SoftwareWatch(directory, clock, random);
    }

    // -- construction

    /**
     * Creates a registry without streams.
     *
     * @param directory the known servers, whose listings name their versions
     * @param clock the clock that all entries share
     * @param random the source of the differences between entries
     * @return a registry that records nothing before {@link #recordIn}
     */
    public static StreamRegistry of(ServerDirectory directory, SharedClock clock, RandomGenerator random) {
        return new StreamRegistry(
                requireNonNull(directory, "directory is null"),
                requireNonNull(clock, "clock is null"),
                requireNonNull(random, "random is null"));
    }

    // -- queries

    /**
     * Finds the version at which a stream was begun.
     *
     * @param firstRequestId the id of the request that brought its first event; empty if its caller names none
     * @param service the service that must go on with it
     * @param lifetime how long ago it may have been begun
     * @return the version, if it is known, and what that rests on. Completes on the network thread
     */
    public CompletableFuture<TakeUp> softwareOf(Optional<String> firstRequestId, String service, Duration lifetime) {
        Optional<String> known = known(firstRequestId, service);
        if (known.isPresent() || store == null || !clock.isKnown()) {
            return CompletableFuture.completedFuture(TakeUp.withoutStore(known));
        }
        long sinceMillis = clock.millis() - lifetime.toMillis();
        return read().handle((records, failure) -> failure == null
                ? answer(known(firstRequestId, service), records, service, sinceMillis)
                : TakeUp.withoutStore(Optional.empty()));
    }

    private Optional<String> known(Optional<String> firstRequestId, String service) {
        return firstRequestId
                .flatMap(id -> origins.find(StreamOrigin.key(id)))
                .filter(origin -> origin.service().equals(service))
                .map(StreamOrigin::softwareVersion);
    }

    private TakeUp answer(Optional<String> recorded, StreamRecords records, String service, long sinceMillis) {
        OptionalLong listAgeMillis = software.listAgeMillis(records.readMillis());
        Set<String> versions = possibleVersions(records, service, sinceMillis);
        TakeUpBasis basis = TakeUpBasis.ONLY_VERSION;
        if (recorded.isPresent()) {
            basis = TakeUpBasis.RECORD;
        } else if (!records.history().reachesBackTo(service, sinceMillis)) {
            basis = TakeUpBasis.HISTORY_SHORT;
        } else if (versions.size() != 1) {
            basis = TakeUpBasis.SEVERAL_VERSIONS;
        } else if (listAgeMillis.isEmpty() || listAgeMillis.getAsLong() > maxListAge.toMillis()) {
            basis = TakeUpBasis.LIST_OUTDATED;
        } else if (store.mayBeBehind()) {
            basis = TakeUpBasis.READ_BEHIND;
        }
        return new TakeUp(
                basis == TakeUpBasis.ONLY_VERSION ? versions.stream().findFirst() : recorded,
                basis,
                OptionalLong.of(clock.millis() - records.readMillis()),
                listAgeMillis);
    }

    /** Returns the versions that can have begun a stream of a service. */
    private Set<String> possibleVersions(StreamRecords records, String service, long sinceMillis) {
        long usedSinceMillis = sinceMillis - SoftwareWatch.USE_AFTER_END.toMillis();
        Set<String> versions = new HashSet<>(records.history().versionsSince(service, usedSinceMillis));
        versions.addAll(software.history().versionsSince(service, usedSinceMillis));
        return versions;
    }

    private boolean isMixed(String service, Duration lifetime) {
        if (!clock.isKnown()) {
            return false;
        }
        long usedSinceMillis =
                clock.millis() - lifetime.plus(SoftwareWatch.USE_AFTER_END).toMillis();
        return software.history().versionsSince(service, usedSinceMillis).size() > 1;
    }

    /**
     * Returns when callers may receive events of a stream that servers with a version have begun. A caller that has an
     * event may take its stream up anywhere, so that until then an entry that has not heard of the version could go on
     * with it at another one.
     *
     * @param service the service
     * @param softwareVersion the version of the servers' software
     * @return complete once the version is in the store's history, or has been listed for so long that every list that
     *     counts has it. Completes on the network thread
     */
    public CompletableFuture<Void> whenKnownToAll(String service, String softwareVersion) {
        if (isKnownToAll(service, softwareVersion)) {
            return CompletableFuture.completedFuture(null);
        }
        return unknownVersions.computeIfAbsent(
                new ServiceVersion(service, softwareVersion), key -> new CompletableFuture<>());
    }

    private boolean isKnownToAll(String service, String softwareVersion) {
        return store == null || !clock.isKnown() || software.isKnownToAll(service, softwareVersion, maxListAge);
    }

    /**
     * Returns what peers have to learn.
     *
     * @param complete whether they may have missed earlier messages
     * @return the streams that were begun here, of services whose servers have several versions
     */
    public List<StreamOrigin> gossip(boolean complete) {
        if (!complete) {
            return List.copyOf(unannounced);
        }
        return List.copyOf(told);
    }

    // -- commands

    /**
     * Sets where streams are recorded.
     *
     * @param host the name of this host
     * @param newStore the store
     * @param contactTime how long an entry may take to learn what the store has; its list of servers may be older by
     *     one call, and counts as out of date after that
     */
    public void recordIn(String host, StreamStore newStore, Duration contactTime) {
        maxListAge = Collections.max(List.of(contactTime, MIN_CONTACT_TIME)).plus(LIST_MARGIN);
        recorder = new StreamRecorder(requireNonNull(host, "host is null"), clock);
        store = requireNonNull(newStore, "newStore is null");
    }

    /**
     * Sets what is called when there are streams that peers have not been told of.
     *
     * @param listener the listener, called on the network thread
     */
    public void onUnannounced(Runnable listener) {
        unannouncedListener = requireNonNull(listener, "listener is null");
    }

    /**
     * Begins an attempt at a stream that a caller may take up again. Nobody is told of it before its first event: the
     * attempt may fail without one, and the next one may begin at another version.
     *
     * @param requestId the id that the caller gave to the request
     * @param service the service
     * @param softwareVersion the version of the software of the server that is sent the request
     * @param lifetime how long the stream may last
     * @return the attempt, for {@link #recordFirstEvent}
     */
    public StreamAttempt begin(String requestId, String service, String softwareVersion, Duration lifetime) {
        software.look();
        return new StreamAttempt(requestId, service, softwareVersion, lifetime);
    }

    /**
     * Records that the first event of a stream has arrived, so that it goes on at the version of that attempt only.
     *
     * @param attempt the attempt that brought the event
     */
    public void recordFirstEvent(StreamAttempt attempt) {
        StreamOrigin origin = attempt.originAt(clock.millis());
        origins.add(List.of(origin));
        untold.put(origin, attempt.lifetime());
        if (isMixed(attempt.service(), attempt.lifetime())) {
            announceMixed();
        }
    }

    /** Tells of the streams in progress of services whose servers have, or have had meanwhile, several versions. */
    private void announceMixed() {
        long nowMillis = clock.millis();
        untold.entrySet()
                .removeIf(stream -> stream.getKey().begunMillis()
                        < nowMillis - stream.getValue().toMillis());
        List<StreamOrigin> mixed = untold.entrySet().stream()
                .filter(stream -> isMixed(stream.getKey().service(), stream.getValue()))
                .map(Map.Entry::getKey)
                .toList();
        mixed.forEach(untold::remove);
        told.addAll(mixed);
        unannounced.addAll(mixed);
        if (mixed.isEmpty()) {
            return;
        }
        unannouncedListener.run();
        if (recorder != null) {
            recorder.add(mixed);
            recorder.tick(store);
        }
    }

    /** Records that the streams of {@link #gossip} were sent to the peers. */
    public void markAnnounced() {
        unannounced = new ArrayList<>();
    }

    /**
     * Adds streams that were begun at a peer.
     *
     * @param begun the streams
     */
    public void applyGossip(Collection<StreamOrigin> begun) {
        List<StreamOrigin> news = begun.stream()
                .filter(origin ->
                        origins.find(origin.requestKey()).filter(origin::equals).isEmpty())
                .toList();
        origins.add(news);
        if (recorder != null) {
            recorder.add(news);
            recorder.tick(store);
        }
    }

    /**
     * Records how recent the list of servers is.
     *
     * @param storeMillis the time of the store's clock up to which it is known, in milliseconds
     */
    public void recordListRead(long storeMillis) {
        software.recordListRead(storeMillis);
    }

    /**
     * Records which other entries are heard.
     *
     * @param hosts the names of their hosts
     */
    public void updatePeers(Collection<String> hosts) {
        if (recorder != null) {
            recorder.updatePeers(hosts);
        }
    }

    /** Has streams and versions recorded again, because the store has come back from a copy that may lack them. */
    public void storeCameBack() {
        software.storeCameBack();
        lastRead = null;
        rowsMayBeLost = true;
    }

    /** Records the streams that are known here again, once it is this entry's turn. */
    private void recordAgain() {
        if (rowsMayBeLost && recorder.isOwnTurn()) {
            rowsMayBeLost = false;
            recorder.add(origins.select(origin -> isMixed(origin.service(), MEMORY)));
        }
    }

    /** Follows the versions of servers' software, and records streams. Must be called several times a second. */
    public void tick() {
        if (store == null) {
            return;
        }
        software.tick(store, recorder.isOwnTurn(SoftwareWatch.ROW_CHECK_TURN));
        if (!clock.isKnown()) {
            return;
        }
        releaseKnownVersions();
        announceMixed();
        recordAgain();
        recorder.tick(store);
        long nowMillis = clock.millis();
        origins.removeBegunBefore(nowMillis - MEMORY.toMillis());
        while (!told.isEmpty() && told.peek().begunMillis() < nowMillis - COMPLETE_GOSSIP.toMillis()) {
            told.poll();
        }
    }

    private void releaseKnownVersions() {
        List<ServiceVersion> known = unknownVersions.keySet().stream()
                .filter(key -> isKnownToAll(key.service(), key.version()))
                .toList();
        known.forEach(key -> unknownVersions.remove(key).complete(null));
    }

    /** Reads the store, or takes the result of a read that began a moment ago. */
    private CompletableFuture<StreamRecords> read() {
        long nowMillis = clock.millis();
        if (lastRead == null || nowMillis - lastReadMillis > READ_VALIDITY.toMillis()) {
            lastReadMillis = nowMillis;
            lastRead = store.read().thenApply(this::apply);
        }
        return lastRead;
    }

    private StreamRecords apply(StreamRecords records) {
        software.apply(records);
        origins.add(records.origins());
        recorder.removeExpired(records);
        return records;
    }
}
