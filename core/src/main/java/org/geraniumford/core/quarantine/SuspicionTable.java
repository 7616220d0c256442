package org.geraniumford.core.quarantine;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The suspicions of an entry, by segment. Not thread-safe. */
final class SuspicionTable {
    static final int MAX_SEGMENTS = 256;

    /** Bounds the gossip message; changes beyond it are announced by the messages that follow. */
    static final int MAX_ANNOUNCED_SEGMENTS = 64;

    private final Map<Long, Suspicion> bySegment = new HashMap<>();

    private SuspicionTable() {}

    // -- construction

    static SuspicionTable empty() {
        return new SuspicionTable();
    }

    // -- queries

    /** Returns what is known about a segment; count 0 if nothing is. */
    Suspicion find(long segment, long nowNanos) {
        Suspicion known = bySegment.get(segment);
        return known == null || known.isForgotten(nowNanos) ? Suspicion.none(nowNanos) : known;
    }

    int size() {
        return bySegment.size();
    }

    /** Returns the segments to announce, the most suspect first. */
    List<SuspectSegment> announced(long nowNanos) {
        return bySegment.entrySet().stream()
                .filter(entry -> entry.getValue().isAnnounced(nowNanos))
                .sorted(Map.Entry.comparingByValue(leastSuspectFirst(nowNanos).reversed()))
                .limit(MAX_ANNOUNCED_SEGMENTS)
                .map(entry -> entry.getValue().announce(entry.getKey(), nowNanos))
                .toList();
    }

    // -- commands

    void put(long segment, Suspicion suspicion, long nowNanos) {
        bySegment.put(segment, suspicion);
        if (bySegment.size() > MAX_SEGMENTS) {
            removeForgotten(nowNanos);
        }
        if (bySegment.size() > MAX_SEGMENTS) {
            bySegment.entrySet().stream()
                    .min(Map.Entry.comparingByValue(leastSuspectFirst(nowNanos)))
                    .map(Map.Entry::getKey)
                    .ifPresent(bySegment::remove);
        }
    }

    void removeForgotten(long nowNanos) {
        bySegment.values().removeIf(suspicion -> suspicion.isForgotten(nowNanos));
    }

    private static Comparator<Suspicion> leastSuspectFirst(long nowNanos) {
        return Comparator.comparingInt(Suspicion::count)
                .thenComparingLong(suspicion -> suspicion.raisedNanos() - nowNanos);
    }
}
