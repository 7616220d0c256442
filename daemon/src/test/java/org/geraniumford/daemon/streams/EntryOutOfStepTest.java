package org.geraniumford.daemon.streams;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.geraniumford.core.fleet.BackendServer;
import org.geraniumford.core.fleet.ServerDirectory;
import org.geraniumford.core.stream.SoftwareHistory;
import org.geraniumford.core.stream.StreamBatch;
import org.geraniumford.core.time.SharedClock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against streams that go on at another version at an entry that was out of step with the others. */
final class EntryOutOfStepTest {
    private static final Duration LIFETIME = Duration.ofSeconds(6);
    private static final Duration CONTACT_TIME = Duration.ofSeconds(3);

    private long nowMillis = 1_000_000;
    private final RowStore rows = new RowStore(() -> nowMillis);

    /** The versions of the listed servers, by the servers' names. */
    private final Map<String, String> listed = new TreeMap<>(Map.of("server-1", "v1"));

    private final Entry one = new Entry("one", 1);
    private final Entry other = new Entry("other", 2);

    /** Both entries have known one version for longer than a stream lasts. */
    @BeforeEach
    void startWithOneVersion() {
        advance(10_000);
        assertThat(one.softwareOf("unknown")).contains("v1");
    }

    private void advance(long millis) {
        for (long i = 0; i < millis; i += 100) {
            nowMillis += 100;
            one.tick();
            other.tick();
        }
    }

    @Test
    void shouldNotAnswerTheOnlyVersionByAListThatIsOutOfDate() {
        one.readsList = false;
        other.store.failing = true;
        listed.put("server-2", "v2");
        advance(5000);
        other.registry.begin("id", "service", "v2", LIFETIME);
        assertThat(one.softwareOf("id")).isEmpty();
    }

    @Test
    void shouldNotEndAVersionInTheHistoryByAListThatIsOlderThanItsRecord() {
        one.readsList = false;
        listed.put("server-2", "v2");
        advance(1000);
        one.softwareOf("unknown");
        advance(10_000);
        assertThat(rows.history.versionsSince("service", nowMillis)).contains("v1", "v2");
    }

    /** A server that has left serves for some seconds more, and an entry that is cut off goes on sending there. */
    @Test
    void shouldNotAnswerTheOnlyVersionSoonAfterAnotherOneHasLeft() {
        other.readsList = false;
        other.store.failing = true;
        listed.clear();
        listed.put("server-2", "v2");
        advance(5000);
        other.registry.begin("id", "service", "v1", LIFETIME);
        advance(5000);
        assertThat(one.softwareOf("id")).isEmpty();
    }

    /** Without an event its caller has nothing to take up. */
    @Test
    void shouldHoldEventsBackUntilTheirVersionIsRecordedOrInEveryListThatCounts() {
        other.store.failing = true;
        one.store.failing = true;
        listed.put("server-2", "v2");
        advance(100);
        CompletableFuture<Void> known = other.begin("v2");
        advance(4000);
        assertThat(known).isNotDone();
        assertThat(other.begin("v1")).isDone();
        advance(400);
        assertThat(known).isDone();
        assertThat(one.softwareOf("unknown")).isEmpty();
    }

    @Test
    void shouldReleaseEventsSoonAfterTheirVersionIsRecorded() {
        listed.put("server-2", "v2");
        advance(100);
        CompletableFuture<Void> known = other.begin("v2");
        assertThat(known).isNotDone();
        one.readsList = false;
        advance(800);
        assertThat(known).isDone();
        assertThat(one.softwareOf("unknown")).isEmpty();
    }

    /** What the other entry knew before may have been ended and listed again without its notice. */
    @Test
    void shouldReadTheHistoryAgainAfterItsListWasOutOfDateForLong() {
        other.readsList = false;
        other.store.failing = true;
        listed.clear();
        listed.put("server-2", "v2");
        advance(20_000);
        assertThat(rows.history.openVersions().get("service")).containsExactly("v2");
        one.store.failing = true;
        listed.put("server-1", "v1");
        other.readsList = true;
        advance(100);
        CompletableFuture<Void> known = other.begin("v1");
        assertThat(known).isNotDone();
        other.store.failing = false;
        advance(1500);
        assertThat(known).isDone();
        assertThat(rows.history.openVersions().get("service")).contains("v1");
    }

    /** The first attempt was told when it was sent; the second one, at another version, only the other entry knows. */
    @Test
    void shouldNotGoOnAtTheVersionOfAnAttemptThatBroughtNoEvent() {
        listed.put("server-2", "v2");
        advance(1000);
        other.begin("v1");
        one.registry.applyGossip(other.registry.gossip(false));
        other.begin("v2");
        assertThat(one.softwareOf("id")).isNotEqualTo(Optional.of("v1"));
    }

    /** The store has what was written before the second attempt, and nothing of it. */
    @Test
    void shouldNotGoOnAtTheVersionOfAnAttemptThatBroughtNoEventWhenAllEntriesHaveEnded() {
        listed.put("server-2", "v2");
        advance(1000);
        other.begin("v1");
        advance(300);
        other.store.failing = true;
        one.store.failing = true;
        other.begin("v2");
        advance(300);
        Entry restarted = new Entry("restarted", 3);
        restarted.tick();
        assertThat(restarted.softwareOf("id")).isNotEqualTo(Optional.of("v1"));
    }

    @Test
    void shouldGoOnAtTheVersionOfTheAttemptThatBroughtTheFirstEvent() {
        listed.put("server-2", "v2");
        advance(1000);
        other.begin("v1");
        one.registry.applyGossip(other.registry.gossip(false));
        other.beginWithEvent("v2");
        one.registry.applyGossip(other.registry.gossip(false));
        one.store.failing = true;
        assertThat(one.softwareOf("id")).contains("v2");
        assertThat(other.softwareOf("id")).contains("v2");
    }

    /** The entry that ended it in the history has ended itself, and the other one has not seen that it was missing. */
    @Test
    void shouldNotAnswerTheOnlyVersionAfterAVersionThatWasEndedHasReturnedUnnoticed() {
        listed.put("server-2", "v2");
        advance(20_000);
        one.readsList = false;
        listed.remove("server-1");
        advance(2500);
        assertThat(rows.history.openVersions().get("service")).containsExactly("v2");
        other.readsList = false;
        other.store.failing = true;
        listed.put("server-1", "v1");
        one.readsList = true;
        advance(20_000);
        assertThat(one.begin("v1")).isDone();
        one.store.failing = true;
        listed.remove("server-1");
        Entry restarted = new Entry("restarted", 3);
        restarted.tick();
        assertThat(restarted.softwareOf("id")).isNotEqualTo(Optional.of("v2"));
    }

    /** An ended version counts for ten seconds more. */
    @Test
    void shouldOpenAVersionAgainThatWasEndedUnnoticedAlsoIfOneEntryMissesItsTurn() {
        one.registry.updatePeers(List.of("other"));
        other.registry.updatePeers(List.of("one"));
        listed.put("server-2", "v2");
        advance(20_000);
        one.store.failing = true;
        rows.history = rows.history.observe(Map.of("service", Set.of("v2")), nowMillis);
        rows.historyVersion++;
        advance(9000);
        assertThat(rows.history.openVersions().get("service")).contains("v1");
    }

    /** Each call is billed; one entry in each turn of four seconds finds out whether the others' row has changed. */
    @Test
    void shouldReadTheHistoryOnceInATurnWhileAServiceHasSeveralVersions() {
        one.registry.updatePeers(List.of("other"));
        other.registry.updatePeers(List.of("one"));
        listed.put("server-2", "v2");
        advance(1000);
        int before = rows.reads;
        advance(40_000);
        assertThat(rows.reads - before).isBetween(9, 11);
    }

    /** Each call is billed. */
    @Test
    void shouldNotCallTheStoreWhileVersionsStayTheSame() {
        int before = rows.reads;
        advance(60_000);
        assertThat(rows.reads).isEqualTo(before);
    }

    private final class Entry {
        private final ServerDirectory directory = ServerDirectory.empty(name -> Optional.empty());
        private final SharedClock clock = SharedClock.of(() -> nowMillis * 1_000_000);
        private final EntryStore store = new EntryStore(rows);
        private final StreamRegistry registry;
        private boolean readsList = true;

        private Entry(String host, long seed) {
            clock.observe(nowMillis);
            registry = StreamRegistry.of(directory, clock, new Random(seed));
            registry.recordIn(host, store, CONTACT_TIME);
        }

        private void tick() {
            if (readsList) {
                directory.replaceAll(
                        listed.entrySet().stream()
                                .map(server -> server(server.getKey(), server.getValue()))
                                .toList(),
                        0);
                registry.recordListRead(nowMillis);
            }
            registry.tick();
        }

        private static BackendServer server(String id, String version) {
            return new BackendServer(id, 1, "service", "10.0.0.1:80", "a", version, 4, false, Map.of());
        }

        /** Begins a stream, and returns when its caller may receive events. */
        private CompletableFuture<Void> begin(String version) {
            registry.begin("id", "service", version, LIFETIME);
            return registry.whenKnownToAll("service", version);
        }

        /** Begins a stream whose first event arrives at once. */
        private void beginWithEvent(String version) {
            registry.recordFirstEvent(registry.begin("id", "service", version, LIFETIME));
        }

        private Optional<String> softwareOf(String requestId) {
            return registry.softwareOf(Optional.of(requestId), "service", LIFETIME)
                    .join()
                    .version();
        }
    }

    /** One entry's way to the store. */
    private static final class EntryStore implements StreamStore {
        private final StreamStore rows;
        private boolean failing;

        private EntryStore(StreamStore rows) {
            this.rows = rows;
        }

        private <T> CompletableFuture<T> failed() {
            return CompletableFuture.failedFuture(new IllegalStateException("no answer"));
        }

        @Override
        public CompletableFuture<StreamRecords> read() {
            return failing ? failed() : rows.read();
        }

        @Override
        public boolean mayBeBehind() {
            return false;
        }

        @Override
        public CompletableFuture<OptionalLong> writeHistory(long expectedVersion, SoftwareHistory history) {
            return failing ? failed() : rows.writeHistory(expectedVersion, history);
        }

        @Override
        public CompletableFuture<Void> writeBatch(String key, StreamBatch batch, Collection<String> expiredKeys) {
            return failing ? failed() : rows.writeBatch(key, batch, List.copyOf(expiredKeys));
        }
    }
}
