package org.geraniumford.core.fleet;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The shared prompt segments that some engine has prefilled and saved, so that any other engine can fetch them from the
 * cache store. Until a segment is known to be saved, all entries send requests for it to the same engine, so that it is
 * prefilled only once. This matters in two situations. After new weights are loaded, all engines' caches are empty and
 * all entries request the same few segments. When the cache store is full, each save evicts shared segments, because it
 * also stores the request's own segment, which is never reused. A segment is therefore saved once for all entries, and
 * saved again only when it may have been evicted. Not thread-safe.
 */
public final class SavedSegments {
    /**
     * The time after which a segment is saved again, because the store may have evicted it. This is twice
     * reuse_window_s, the 10 s after its last use for which the specifications assume that a segment can be reused.
     */
    private static final Duration RESAVE_INTERVAL = Duration.ofSeconds(20);

    private static final int MAX_SEGMENTS = 8192;

    /**
     * The largest number of segments that wait for the next gossip message. Further ones are dropped. So many wait only
     * if no message could be sent for a long time, which means that the links to the peers are broken.
     */
    private static final int MAX_UNANNOUNCED_SEGMENTS = 1024;

    private final Map<Long, Long> lastSavedNanosByKey = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
            return size() > MAX_SEGMENTS;
        }
    };

    private final List<Long> unannounced = new ArrayList<>();

    private SavedSegments() {}

    // -- construction

    /**
     * Creates a set without segments.
     *
     * @return an empty set
     */
    public static SavedSegments empty() {
        return new SavedSegments();
    }

    // -- queries

    /**
     * Finds the first shared segment of a prompt that is not known to have been prefilled and saved by any engine.
     *
     * @param sharedSegments the prompt's shared segments, in order
     * @return the segment's key; empty if all shared segments are known
     */
    public OptionalLong firstUnsaved(List<ScopedSegment> sharedSegments) {
        return sharedSegments.stream()
                .mapToLong(ScopedSegment::key)
                .filter(key -> !lastSavedNanosByKey.containsKey(key))
                .findFirst();
    }

    /**
     * Returns whether a prompt's shared segments should be saved in the cache store.
     *
     * @param sharedSegments the prompt's shared segments
     * @param nowNanos the current time, from {@link System#nanoTime}
     * @return true if one of them is not known to have been saved in the last 20 s
     */
    public boolean isSaveDue(List<ScopedSegment> sharedSegments, long nowNanos) {
        return sharedSegments.stream()
                .map(segment -> lastSavedNanosByKey.get(segment.key()))
                .anyMatch(savedAt -> savedAt == null || nowNanos - savedAt > RESAVE_INTERVAL.toNanos());
    }

    /**
     * Returns the segments that are still to be announced to the other entries.
     *
     * @return the keys of the segments saved for this entry since the last {@link #markAnnounced}, at most 1024
     */
    public List<Long> unannounced() {
        return List.copyOf(unannounced);
    }

    // -- commands

    /**
     * Records that an engine has prefilled and saved a prompt for this entry.
     *
     * @param sharedSegments the prompt's shared segments
     * @param nowNanos the current time, from {@link System#nanoTime}
     */
    public void recordSaved(List<ScopedSegment> sharedSegments, long nowNanos) {
        List<Long> keys = sharedSegments.stream().map(ScopedSegment::key).toList();
        applyGossip(keys, nowNanos);
        keys.stream().limit(MAX_UNANNOUNCED_SEGMENTS - unannounced.size()).forEach(unannounced::add);
    }

    /** Records that the keys of {@link #unannounced} were sent to the other entries. */
    public void markAnnounced() {
        unannounced.clear();
    }

    /**
     * Adds segments that engines prefilled and saved for another entry.
     *
     * @param keys the keys of the segments that the other entry announced
     * @param nowNanos the current time, from {@link System#nanoTime}
     */
    public void applyGossip(Collection<Long> keys, long nowNanos) {
        requireNonNull(keys, "keys is null");
        keys.forEach(key -> lastSavedNanosByKey.put(key, nowNanos));
    }

    /** Removes all segments, because a cache store that was lost may be empty when it is available again. */
    public void clear() {
        lastSavedNanosByKey.clear();
        unannounced.clear();
    }
}
