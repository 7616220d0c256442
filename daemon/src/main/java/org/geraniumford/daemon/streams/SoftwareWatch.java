package org.geraniumford.daemon.streams;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.geraniumford.core.fleet.ServerDirectory;
import org.geraniumford.core.stream.SoftwareHistory;
import org.geraniumford.core.time.SharedClock;
import org.geraniumford.transport.log.LogEvent;

/**
 * Keeps the history of the versions of servers' software, here and in the store. The store's row is read and written
 * when a version comes or goes, or when its content may have changed unseen; while a service has several versions, the
 * entries read it again in turns. A version that the row has is ended only by a list of servers that was read after the
 * row: an earlier one may not have seen it yet. Used on one network thread.
 */
final class SoftwareWatch {
    /**
     * How long after a version has no listed server an entry that is cut off from the store may still send streams
     * there. The servers serve for some seconds after they have left.
     */
    static final Duration USE_AFTER_END = Duration.ofSeconds(10);

    /**
     * How long the turn of one entry lasts to read the row again while a service has several versions. The end of a
     * version that has returned is thus noticed within {@link #USE_AFTER_END}, also if one entry misses its turn.
     */
    static final Duration ROW_CHECK_TURN = Duration.ofSeconds(4);

    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    /** All entries see a change at about the same time; one of them writes it, if the others look a little later. */
    private static final Duration MAX_JITTER = Duration.ofMillis(200);

    private final ListedVersions listed;
    private final SharedClock clock;
    private final RandomGenerator random;

    /** What this entry has seen itself, and what the store's row had. */
    private SoftwareHistory history = SoftwareHistory.empty();

    /** The store's row as it was read or written last, and its version; empty and 0 before that. */
    private SoftwareHistory stored = SoftwareHistory.empty();

    private long storedVersion;

    /** The time of the store's clock at which the row was first known to have that content; empty before that. */
    private OptionalLong storedMillis = OptionalLong.empty();

    /** When the row was read or written last. */
    private long rowKnownMillis;

    /** Whether the row may lack what it had, because the store has come back from a copy. */
    private boolean rowMayBeLost;

    private boolean syncing;
    private long nextSyncMillis;
    private boolean syncPlanned;

    SoftwareWatch(ServerDirectory directory, SharedClock clock, RandomGenerator random) {
        this.listed = new ListedVersions(directory);
        this.clock = clock;
        this.random = random;
    }

    // -- queries

    SoftwareHistory history() {
        return history;
    }

    /** Returns how much older the list of servers is than a time of the store's clock; 0 if it is not older. */
    OptionalLong listAgeMillis(long storeMillis) {
        return listed.ageMillis(storeMillis);
    }

    /** Returns whether every entry that may tell an only version knows of a version; see {@link ListedVersions}. */
    boolean isKnownToAll(String service, String version, Duration maxListAge) {
        return listed.isKnownToAll(service, version, clock.millis(), maxListAge);
    }

    /** Returns a history after a look at the list of servers. */
    private SoftwareHistory observed(SoftwareHistory before) {
        boolean mayEnd = storedMillis.isEmpty() || listed.isKnownAfter(storedMillis.getAsLong());
        Map<String, Set<String>> versions = listed.byService();
        return before.observe(mayEnd ? versions : union(versions, stored.openVersions()), clock.millis());
    }

    private static Map<String, Set<String>> union(Map<String, Set<String>> one, Map<String, Set<String>> other) {
        Map<String, Set<String>> union = new HashMap<>();
        one.forEach((service, versions) -> union.put(service, new HashSet<>(versions)));
        other.forEach((service, versions) ->
                union.computeIfAbsent(service, key -> new HashSet<>()).addAll(versions));
        return union;
    }

    // -- commands

    /** Records up to which time of the store's clock the list of servers is known. */
    void recordListRead(long storeMillis) {
        listed.recordListRead(storeMillis, clock.millis());
    }

    /** Looks at the list of servers. */
    void look() {
        if (clock.isKnown()) {
            listed.look(clock.millis());
            history = observed(history);
        }
    }

    /**
     * Looks at the list of servers, and brings the store's row up to date if a version has come or gone.
     *
     * @param ownTurn whether it is for this entry to find out what others have made of the row
     */
    void tick(StreamStore store, boolean ownTurn) {
        look();
        if (listed.isEmpty()) {
            return;
        }
        long nowMillis = clock.millis();
        boolean checkDue =
                ownTurn && history.hasSeveralVersions() && nowMillis - rowKnownMillis >= ROW_CHECK_TURN.toMillis();
        boolean upToDate = observed(stored).equals(stored) && !listed.hasUnrecorded() && !rowMayBeLost;
        if (upToDate && !checkDue) {
            syncPlanned = false;
        } else if (!syncPlanned) {
            syncPlanned = true;
            boolean first = stored.equals(SoftwareHistory.empty()) && !rowMayBeLost;
            long jitterMillis = first ? 0 : random.nextLong(MAX_JITTER.toMillis());
            nextSyncMillis = Math.max(nextSyncMillis, nowMillis + jitterMillis);
        }
        if (syncPlanned && !syncing && nowMillis >= nextSyncMillis) {
            sync(store);
        }
    }

    /** Takes over what the store's row had, unless a newer row is known. */
    void apply(StreamRecords records) {
        boolean older = records.historyVersion() > 0 && records.historyVersion() < storedVersion;
        if (!older) {
            rowKnownMillis = clock.millis();
            if (storedMillis.isEmpty() || records.historyVersion() != storedVersion) {
                storedMillis = OptionalLong.of(records.readMillis());
            }
            stored = records.history();
            storedVersion = records.historyVersion();
            history = observed(history.joinedWith(stored));
            listed.recordRow(stored.openVersions(), clock.millis());
        }
    }

    /** Forgets what the row had, because the store has come back from a copy; what it lacks is written again. */
    void storeCameBack() {
        rowMayBeLost = true;
        stored = SoftwareHistory.empty();
        storedVersion = 0;
        storedMillis = OptionalLong.empty();
        listed.recordRow(Map.of(), clock.millis());
    }

    private void sync(StreamStore store) {
        syncing = true;
        store.read()
                .thenCompose(records -> {
                    apply(records);
                    SoftwareHistory next = observed(rowMayBeLost ? stored.joinedWith(history) : stored);
                    return next.equals(stored)
                            ? CompletableFuture.completedFuture(OptionalLong.of(storedVersion))
                            : write(store, next);
                })
                .whenComplete((version, failure) -> {
                    syncing = false;
                    syncPlanned = false;
                    rowMayBeLost = rowMayBeLost && (failure != null || version.isEmpty());
                    // Another entry that was quicker is read again at once.
                    if (failure != null) {
                        nextSyncMillis = clock.millis() + RETRY_DELAY.toMillis();
                    }
                });
    }

    private CompletableFuture<OptionalLong> write(StreamStore store, SoftwareHistory next) {
        LogEvent.of("software_versions")
                .with("before", stored.toString().replace('\n', ';'))
                .with("now", next.toString().replace('\n', ';'))
                .with("list_age_ms", listAgeMillis(clock.millis()).orElse(-1))
                .info();
        long expectedVersion = storedVersion;
        return store.writeHistory(expectedVersion, next).thenApply(version -> {
            version.ifPresent(written -> applyWritten(expectedVersion, written, next));
            return version;
        });
    }

    /** Takes over what this entry has written, unless a newer row was read meanwhile. */
    private void applyWritten(long expectedVersion, long written, SoftwareHistory next) {
        if (storedVersion == expectedVersion) {
            stored = next;
            storedVersion = written;
            rowKnownMillis = clock.millis();
            listed.recordRow(stored.openVersions(), clock.millis());
        }
    }
}
