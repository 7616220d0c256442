package org.geraniumford.daemon.streams;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.geraniumford.core.fleet.BackendServer;
import org.geraniumford.core.fleet.ServerDirectory;
import org.geraniumford.core.stream.SoftwareHistory;
import org.geraniumford.core.time.SharedClock;
import org.geraniumford.transport.log.LogEvent;

/**
 * Keeps the history of the versions of servers' software, here and in the store. The store's row is read and written
 * only when a version comes or goes. Used on one network thread.
 */
final class SoftwareWatch {
    /** How long a version may be missing from the list of servers, which is read again after outages. */
    private static final Duration MISSING_TIME = Duration.ofSeconds(2);

    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    /** All entries see a change at about the same time; one of them writes it, if the others look a little later. */
    private static final Duration MAX_JITTER = Duration.ofMillis(200);

    private record ServiceVersion(String service, String version) {}

    private final ServerDirectory directory;
    private final SharedClock clock;
    private final RandomGenerator random;
    private final Map<ServiceVersion, Long> listedMillis = new HashMap<>();

    /** What this entry has seen itself, and what the store's row had. */
    private SoftwareHistory history = SoftwareHistory.empty();

    /** The store's row as it was read or written last; empty before that. */
    private SoftwareHistory stored = SoftwareHistory.empty();

    /** The time of the store's clock up to which the list of servers is known; empty before its first read. */
    private OptionalLong listMillis = OptionalLong.empty();

    private boolean syncing;
    private long nextSyncMillis;
    private boolean syncPlanned;

    SoftwareWatch(ServerDirectory directory, SharedClock clock, RandomGenerator random) {
        this.directory = directory;
        this.clock = clock;
        this.random = random;
    }

    // -- queries

    SoftwareHistory history() {
        return history;
    }

    /** Returns how much older the list of servers is than a time of the store's clock; 0 if it is not older. */
    OptionalLong listAgeMillis(long storeMillis) {
        return listMillis.stream()
                .map(millis -> Math.max(0, storeMillis - millis))
                .findFirst();
    }

    private Map<String, Set<String>> listedVersions() {
        Map<String, Set<String>> listed = new HashMap<>();
        listedMillis
                .keySet()
                .forEach(key -> listed.computeIfAbsent(key.service(), service -> new HashSet<>())
                        .add(key.version()));
        return listed;
    }

    // -- commands

    /** Records up to which time of the store's clock the list of servers is known. */
    void recordListRead(long storeMillis) {
        listMillis = OptionalLong.of(Math.max(storeMillis, listMillis.orElse(storeMillis)));
    }

    /** Looks at the list of servers. */
    void look() {
        if (!clock.isKnown()) {
            return;
        }
        long nowMillis = clock.millis();
        directory.all().forEach(state -> listedMillis.put(key(state.server()), nowMillis));
        listedMillis.values().removeIf(lastMillis -> nowMillis - lastMillis > MISSING_TIME.toMillis());
        history = history.observe(listedVersions(), nowMillis);
    }

    /** Looks at the list of servers, and brings the store's row up to date if a version has come or gone. */
    void tick(StreamStore store) {
        look();
        if (listedMillis.isEmpty()) {
            return;
        }
        long nowMillis = clock.millis();
        boolean changed = !stored.observe(listedVersions(), nowMillis).equals(stored);
        if (!changed) {
            syncPlanned = false;
        } else if (!syncPlanned) {
            syncPlanned = true;
            long jitterMillis = stored.equals(SoftwareHistory.empty()) ? 0 : random.nextLong(MAX_JITTER.toMillis());
            nextSyncMillis = Math.max(nextSyncMillis, nowMillis + jitterMillis);
        }
        if (syncPlanned && !syncing && nowMillis >= nextSyncMillis) {
            sync(store);
        }
    }

    private static ServiceVersion key(BackendServer server) {
        return new ServiceVersion(server.service(), server.softwareVersion());
    }

    /** Takes over what the store's row had. */
    void apply(StreamRecords records) {
        stored = records.history();
        history = history.joinedWith(stored).observe(listedVersions(), clock.millis());
    }

    private void sync(StreamStore store) {
        syncing = true;
        store.read()
                .thenCompose(records -> {
                    apply(records);
                    SoftwareHistory next = stored.observe(listedVersions(), clock.millis());
                    return next.equals(stored)
                            ? CompletableFuture.completedFuture(OptionalLong.of(records.historyVersion()))
                            : write(store, records.historyVersion(), next);
                })
                .whenComplete((version, failure) -> {
                    syncing = false;
                    syncPlanned = false;
                    if (failure != null || version.isEmpty()) {
                        nextSyncMillis = clock.millis() + RETRY_DELAY.toMillis();
                    }
                });
    }

    private CompletableFuture<OptionalLong> write(StreamStore store, long expectedVersion, SoftwareHistory next) {
        LogEvent.of("software_versions")
                .with("before", stored.toString().replace('\n', ';'))
                .with("now", next.toString().replace('\n', ';'))
                .with("list_age_ms", listAgeMillis(clock.millis()).orElse(-1))
                .info();
        return store.writeHistory(expectedVersion, next).thenApply(version -> {
            if (version.isPresent()) {
                stored = next;
            }
            return version;
        });
    }
}
