package org.geraniumford.daemon.streams;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.geraniumford.core.fleet.BackendServer;
import org.geraniumford.core.fleet.ServerDirectory;
import org.geraniumford.core.stream.SoftwareHistory;
import org.geraniumford.core.stream.StreamBatch;
import org.geraniumford.core.stream.StreamOrigin;
import org.geraniumford.core.time.SharedClock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class StreamRegistryTest {
    private static final Duration LIFETIME = Duration.ofSeconds(6);
    private static final Duration CONTACT_TIME = Duration.ofSeconds(3);
    private static final long START = 1_000_000;

    private long nowMillis = START;
    private final RowStore store = new RowStore(() -> nowMillis);
    private final ServerDirectory directory = ServerDirectory.empty(name -> Optional.empty());
    private final SharedClock clock = SharedClock.of(() -> nowMillis * 1_000_000);
    private final StreamRegistry registry = StreamRegistry.of(directory, clock, new Random(1));

    @BeforeEach
    void start() {
        clock.observe(START);
        list("server-1", "v1");
        registry.recordIn("host-a", store, CONTACT_TIME);
    }

    private void list(String id, String version) {
        directory.register(new BackendServer(id, 1, "service", "10.0.0.1:80", "a", version, 4, false, Map.of()));
    }

    private Optional<String> softwareOf(StreamRegistry asked, String id) {
        return asked.softwareOf(Optional.of(id), "service", LIFETIME).join().version();
    }

    private void beginWithEvent(String id, String version) {
        registry.recordFirstEvent(registry.begin(id, "service", version, LIFETIME));
    }

    private void advance(long millis) {
        for (long i = 0; i < millis; i += 100) {
            nowMillis += 100;
            registry.recordListRead(nowMillis);
            registry.tick();
        }
    }

    /** As after a restart of all entries. */
    private StreamRegistry restarted() {
        StreamRegistry other = StreamRegistry.of(directory, clock, new Random(2));
        other.recordListRead(nowMillis);
        other.recordIn("host-b", store, CONTACT_TIME);
        return other;
    }

    @Test
    void shouldRecordNoStreamWhileAServiceHasOneVersion() {
        registry.tick();
        beginWithEvent("id", "v1");
        advance(1000);
        assertThat(store.batches).isEmpty();
        assertThat(registry.gossip(true)).isEmpty();
        assertThat(softwareOf(registry, "id")).contains("v1");
    }

    @Test
    void shouldKnowTheOnlyVersionOnceItWasTheOnlyOneForAsLongAsAStreamLasts() {
        registry.tick();
        advance(5900);
        assertThat(softwareOf(restarted(), "id")).isEmpty();
        advance(100);
        assertThat(softwareOf(restarted(), "id")).contains("v1");
    }

    /**
     * Guards against streams that go on at a version which has been replaced, as the history was read in an old state.
     */
    @Test
    void shouldNotKnowTheOnlyVersionByAReadThatMayBeBehind() {
        registry.tick();
        advance(6000);
        store.behind = true;
        assertThat(softwareOf(restarted(), "id")).isEmpty();
        store.behind = false;
        assertThat(softwareOf(restarted(), "id")).contains("v1");
    }

    @Test
    void shouldRecordStreamsWhileAServiceHasTwoVersions() {
        list("server-2", "v2");
        registry.tick();
        beginWithEvent("one", "v1");
        beginWithEvent("two", "v2");
        advance(200);
        assertThat(softwareOf(restarted(), "one")).contains("v1");
        assertThat(softwareOf(restarted(), "two")).contains("v2");
        assertThat(softwareOf(restarted(), "three")).isEmpty();
        assertThat(registry.gossip(false)).hasSize(2);
    }

    /** Their callers may take them up when the newer version has servers too. */
    @Test
    void shouldRecordTheStreamsInProgressWhenASecondVersionComes() {
        registry.tick();
        beginWithEvent("id", "v1");
        list("server-2", "v2");
        advance(200);
        assertThat(softwareOf(restarted(), "id")).contains("v1");
    }

    /** The version before has left a while ago, but is still remembered. */
    @Test
    void shouldRecordTheStreamsInProgressWhenAThirdVersionComes() {
        list("server-2", "v2");
        registry.tick();
        directory.deregister("server-1", 0);
        advance(20_000);
        beginWithEvent("id", "v2");
        advance(500);
        assertThat(store.batches).isEmpty();
        list("server-3", "v3");
        advance(200);
        assertThat(softwareOf(restarted(), "id")).contains("v2");
    }

    @Test
    void shouldAskTheStoreOnceForAllThatAreTakenUpAtATime() {
        list("server-2", "v2");
        registry.tick();
        advance(1000);
        int before = store.reads;
        store.failing = true;
        for (int i = 0; i < 50; i++) {
            assertThat(softwareOf(registry, "none-" + i)).isEmpty();
        }
        assertThat(store.reads - before).isEqualTo(1);
    }

    @Test
    void shouldRecordTheVersionOfTheAttemptThatBroughtTheFirstEvent() {
        list("server-2", "v2");
        registry.tick();
        registry.begin("id", "service", "v1", LIFETIME);
        advance(300);
        beginWithEvent("id", "v2");
        advance(300);
        assertThat(softwareOf(registry, "id")).contains("v2");
        assertThat(softwareOf(restarted(), "id")).contains("v2");
    }

    /** Whoever has a record of an attempt that fails could go on at its version with events of the next one. */
    @Test
    void shouldRecordNoAttemptBeforeItsFirstEvent() {
        list("server-2", "v2");
        registry.tick();
        registry.begin("id", "service", "v1", LIFETIME);
        advance(1000);
        assertThat(softwareOf(registry, "id")).isEmpty();
        assertThat(softwareOf(restarted(), "id")).isEmpty();
        assertThat(registry.gossip(true)).isEmpty();
        assertThat(store.batches).isEmpty();
    }

    /** A stream that waits until the next message to peers is not known if its entry ends before. */
    @Test
    void shouldAskForAMessageToPeersAtTheFirstEventsOfServicesWithTwoVersions() {
        AtomicInteger asked = new AtomicInteger();
        registry.onUnannounced(asked::incrementAndGet);
        registry.tick();
        beginWithEvent("one", "v1");
        assertThat(asked).hasValue(0);
        list("server-2", "v2");
        StreamAttempt attempt = registry.begin("two", "service", "v1", LIFETIME);
        assertThat(asked).hasValue(0);
        registry.recordFirstEvent(attempt);
        assertThat(asked).hasValue(1);
        assertThat(registry.gossip(false)).hasSize(2);
    }

    @Test
    void shouldRecordWhatPeersTellInItsTurnsOnly() {
        list("server-2", "v2");
        registry.updatePeers(List.of("host-b", "host-c"));
        registry.tick();
        long recorded = 0;
        for (int i = 0; i < 30; i++) {
            int before = store.batches.size();
            registry.applyGossip(List.of(new StreamOrigin(i, "service", "v1", nowMillis)));
            advance(100);
            recorded += store.batches.size() - before;
        }
        assertThat(recorded).isBetween(8L, 12L);
    }

    @Test
    void shouldCallTheStoreAtMostNineTimesASecondHoweverManyStreamsBegin() {
        list("server-2", "v2");
        registry.tick();
        for (int i = 0; i < 5000; i++) {
            beginWithEvent("id-" + i, "v1");
            nowMillis += 2;
        }
        assertThat(store.written).isLessThan(16 + 9 * 10);
        advance(500);
        assertThat(softwareOf(restarted(), "id-4999")).contains("v1");
    }

    @Test
    void shouldRemoveRowsThatAreOlderThanAnyStream() {
        list("server-2", "v2");
        store.batches.put("streams/other/1/0", new StreamBatch(START - 60_000, List.of()));
        registry.tick();
        beginWithEvent("one", "v1");
        advance(45_000);
        beginWithEvent("two", "v1");
        assertThat(softwareOf(registry, "none")).isEmpty();
        beginWithEvent("three", "v1");
        advance(500);
        assertThat(store.batches.values().stream().flatMap(batch -> batch.origins().stream()))
                .extracting(StreamOrigin::requestKey)
                .containsExactlyInAnyOrder(StreamOrigin.key("two"), StreamOrigin.key("three"));
    }

    @Test
    void shouldNotKnowWhatTheStoreCannotTell() {
        list("server-2", "v2");
        registry.tick();
        store.failing = true;
        beginWithEvent("id", "v1");
        advance(500);
        assertThat(softwareOf(restarted(), "id")).isEmpty();
        store.failing = false;
        advance(500);
        assertThat(softwareOf(restarted(), "id")).contains("v1");
    }

    @Test
    void shouldKnowNoStreamOfAnotherService() {
        list("server-2", "v2");
        registry.tick();
        beginWithEvent("id", "v1");
        assertThat(registry.softwareOf(Optional.of("id"), "other", LIFETIME)
                        .join()
                        .version())
                .isEmpty();
    }

    /** Guards against streams that nobody can take up, or that go on at another version, as their rows were lost. */
    @Test
    void shouldRecordStreamsAndVersionsAgainWhenTheStoreHasComeBackFromACopy() {
        registry.tick();
        advance(1000);
        SoftwareHistory copiedHistory = store.history;
        long copiedVersion = store.historyVersion;
        list("server-2", "v2");
        registry.tick();
        beginWithEvent("one", "v1");
        beginWithEvent("two", "v2");
        advance(300);
        assertThat(store.batches).isNotEmpty();
        store.comeBackFromCopy(copiedHistory, copiedVersion, Map.of());
        registry.storeCameBack();
        assertThat(registry.whenKnownToAll("service", "v2")).isNotDone();
        advance(1500);
        assertThat(store.history.openVersions()).containsEntry("service", Set.of("v1", "v2"));
        assertThat(registry.whenKnownToAll("service", "v2")).isDone();
        assertThat(softwareOf(restarted(), "one")).contains("v1");
        assertThat(softwareOf(restarted(), "two")).contains("v2");
    }
}
