package org.geraniumford.daemon.streams;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.geraniumford.core.stream.StreamBatch;
import org.geraniumford.core.stream.StreamOrigin;
import org.geraniumford.core.time.SharedClock;
import org.geraniumford.transport.log.LogEvent;

/**
 * Writes the streams that entries tell each other of to the store. The entries take turns, so that calls don't grow
 * with their number, and one that is cut off from the store costs its own turns only. Used on one network thread.
 */
final class StreamRecorder {
    /** How long the turn of one entry lasts. */
    private static final Duration TURN = Duration.ofSeconds(1);

    /** How long before its turn an entry begins to collect, for what the entry before it can no longer write. */
    private static final Duration OVERLAP = Duration.ofMillis(400);

    /** The mean time between two calls where streams are begun all the time. */
    private static final Duration CALL_INTERVAL = Duration.ofMillis(120);

    /** How many calls may follow each other without a pause after a time without any. */
    private static final int BURST_CALLS = 16;

    /** How long rows are kept; longer than any stream lasts. */
    private static final Duration RETENTION = Duration.ofSeconds(40);

    /** The number of streams in one row, which may hold 64 KiB. */
    private static final int MAX_BATCH = 400;

    private record Heard(StreamOrigin origin, long atMillis) {}

    private final String host;
    private final SharedClock clock;
    private final long startMillis = System.currentTimeMillis();
    private final Deque<Heard> pending = new ArrayDeque<>();

    /** The keys of the rows of this process, and when they were written, oldest first. */
    private final Map<String, Long> writtenMillis = new LinkedHashMap<>();

    /** When each row that the store holds was first read, from {@link SharedClock#millis}. */
    private final Map<String, Long> readMillis = new HashMap<>();

    /** The keys of rows that others have left behind. */
    private final Set<String> expired = new LinkedHashSet<>();

    private Set<String> hosts = Set.of();
    private boolean writing;

    /** The time up to which the calls made so far were due, if each takes {@link #CALL_INTERVAL}. */
    private long spentUntilMillis;

    private long sequence;

    StreamRecorder(String host, SharedClock clock) {
        this.host = host;
        this.clock = clock;
        updatePeers(Set.of());
    }

    // -- queries

    /** Returns whether it is this entry's turn to write streams. */
    boolean isOwnTurn() {
        return isOwnTurn(TURN);
    }

    /** Returns whether it is this entry's turn, if each one lasts for a time. */
    boolean isOwnTurn(Duration length) {
        int turn = (int) Math.floorMod(clock.millis() / length.toMillis(), (long) hosts.size());
        return hosts.stream().skip(turn).findFirst().filter(host::equals).isPresent();
    }

    // -- commands

    /** Records which other entries are heard, and thus take turns. */
    void updatePeers(Collection<String> peers) {
        Set<String> sorted = new TreeSet<>(peers);
        sorted.add(host);
        hosts = sorted;
    }

    /** Adds streams that have just been begun, here or at a peer. */
    void add(Collection<StreamOrigin> origins) {
        long nowMillis = clock.millis();
        origins.forEach(origin -> pending.add(new Heard(origin, nowMillis)));
    }

    /**
     * Has rows removed with the next call that are older than any stream. Their age counts from when they were first
     * read here, because the clock of the entry that wrote one may have been behind.
     */
    void removeExpired(StreamRecords records) {
        long nowMillis = clock.millis();
        Set<String> keys = records.batches().keySet();
        readMillis.keySet().retainAll(keys);
        keys.forEach(key -> readMillis.putIfAbsent(key, nowMillis));
        readMillis.entrySet().stream()
                .filter(row -> row.getValue() < nowMillis - RETENTION.toMillis())
                .forEach(row -> expired.add(row.getKey()));
    }

    /** Writes what has been collected, if it is this entry's turn and a call is due. */
    void tick(StreamStore store) {
        long nowMillis = clock.millis();
        long turnMillis = nowMillis - Math.floorMod(nowMillis, TURN.toMillis());
        while (!pending.isEmpty() && pending.peek().atMillis() < turnMillis - OVERLAP.toMillis()) {
            pending.poll();
        }
        boolean due = spentUntilMillis - nowMillis < CALL_INTERVAL.toMillis() * BURST_CALLS;
        if (!pending.isEmpty() && !writing && due && isOwnTurn(TURN)) {
            spentUntilMillis = Math.max(spentUntilMillis, nowMillis) + CALL_INTERVAL.toMillis();
            write(store, nowMillis);
        }
    }

    private void write(StreamStore store, long nowMillis) {
        List<Heard> heard = new ArrayList<>();
        while (!pending.isEmpty() && heard.size() < MAX_BATCH) {
            heard.add(pending.poll());
        }
        List<String> removed = takeExpired(nowMillis);
        String key = "streams/" + host + "/" + startMillis + "/" + sequence++;
        writing = true;
        writtenMillis.put(key, nowMillis);
        store.writeBatch(
                        key,
                        new StreamBatch(
                                nowMillis, heard.stream().map(Heard::origin).toList()),
                        removed)
                .whenComplete((ignored, failure) -> {
                    writing = false;
                    if (failure != null) {
                        LogEvent.of("streams_not_recorded")
                                .with("streams", heard.size())
                                .with("cause", failure)
                                .info();
                        heard.forEach(pending::add);
                        expired.addAll(removed);
                    } else {
                        tick(store);
                    }
                });
    }

    private List<String> takeExpired(long nowMillis) {
        writtenMillis.entrySet().removeIf(row -> {
            boolean old = row.getValue() < nowMillis - RETENTION.toMillis();
            return old && expired.add(row.getKey());
        });
        List<String> removed = expired.stream().limit(StreamStore.MAX_EXPIRED).toList();
        removed.forEach(expired::remove);
        return removed;
    }
}
