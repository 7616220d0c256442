package org.geraniumford.core.quarantine;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * When responses last began at this entry, by segment. Engines go on to end under the requests of others while a sound
 * segment is in use, so an end does not count against a segment with which a response has just begun. Not thread-safe.
 */
final class RecentResponses {
    /** Short, so that a segment that turns bad is soon accused. */
    private static final Duration RECENT = Duration.ofSeconds(1);

    private static final int MAX_SEGMENTS = 1024;

    private final Map<Long, Long> begunNanosBySegment = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
            return size() > MAX_SEGMENTS;
        }
    };

    private RecentResponses() {}

    // -- construction

    static RecentResponses empty() {
        return new RecentResponses();
    }

    // -- queries

    /** Returns whether a response with the segment began after the given time or shortly before it. */
    boolean refutes(long segment, long endedNanos) {
        Long begunNanos = begunNanosBySegment.get(segment);
        return begunNanos != null && begunNanos - (endedNanos - RECENT.toNanos()) >= 0;
    }

    // -- commands

    void record(long segment, long nowNanos) {
        begunNanosBySegment.put(segment, nowNanos);
    }
}
