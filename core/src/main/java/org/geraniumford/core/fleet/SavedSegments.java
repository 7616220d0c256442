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
 * The shared prompt parts that some engine has read and saved, so that any other can fetch them from the cache store.
 * Until a part is known, every entry sends its requests to one engine, so that it is read once. It answers two loads:
 * the moment after new weights, when all engines are empty and all entries ask for the same few parts; and a full cache
 * store, in which every save also leaves the part of one request that nobody asks for again, and pushes shared parts
 * out. So a part is saved once for all entries, and again only when it may have been pushed out. Not thread-safe.
 */
public final class SavedSegments {
    /**
     * After this time a part is saved again; the sheets count on parts for reuse_window_s, 10 s, after their last use.
     */
    private static final Duration RESAVE_INTERVAL = Duration.ofSeconds(20);

    private static final int MAX_SEGMENTS = 8192;

    /** How many parts are kept for the next pulse; a link that takes none for so long is broken. */
    private static final int MAX_UNANNOUNCED_SEGMENTS = 1024;

    private final Map<Long, Long> savedNanos = new LinkedHashMap<>(64, 0.75f, true) {
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
     * Creates a set that knows no part.
     *
     * @return an empty set
     */
    public static SavedSegments empty() {
        return new SavedSegments();
    }

    // -- queries

    /**
     * Finds the first shared part of a prompt that no engine is known to have read.
     *
     * @param shared the shared parts in order
     * @return the part's key; empty if all of them are known
     */
    public OptionalLong firstUnsaved(List<ScopedSegment> shared) {
        return shared.stream()
                .mapToLong(ScopedSegment::key)
                .filter(key -> !savedNanos.containsKey(key))
                .findFirst();
    }

    /**
     * Says whether a prompt's shared parts should be saved in the cache store.
     *
     * @param shared the shared parts
     * @param nowNanos the time
     * @return true if one of them is not known to have been saved lately
     */
    public boolean isSaveDue(List<ScopedSegment> shared, long nowNanos) {
        return shared.stream()
                .map(part -> savedNanos.get(part.key()))
                .anyMatch(saved -> saved == null || nowNanos - saved > RESAVE_INTERVAL.toNanos());
    }

    /**
     * Returns the parts to tell the other entries of.
     *
     * @return keys of the parts that were read at this entry's request since the last {@link #markAnnounced}
     */
    public List<Long> unannounced() {
        return List.copyOf(unannounced);
    }

    // -- commands

    /**
     * Notes that an engine has read and saved a prompt for this entry.
     *
     * @param shared the shared parts
     * @param nowNanos the time
     */
    public void recordSaved(List<ScopedSegment> shared, long nowNanos) {
        List<Long> keys = shared.stream().map(ScopedSegment::key).toList();
        applyGossip(keys, nowNanos);
        keys.stream().limit(MAX_UNANNOUNCED_SEGMENTS - unannounced.size()).forEach(unannounced::add);
    }

    /** Notes that the other entries were told of the fresh parts. */
    public void markAnnounced() {
        unannounced.clear();
    }

    /**
     * Takes what another entry had read and saved.
     *
     * @param keys its fresh parts
     * @param nowNanos the time
     */
    public void applyGossip(Collection<Long> keys, long nowNanos) {
        requireNonNull(keys, "keys is null");
        keys.forEach(key -> savedNanos.put(key, nowNanos));
    }

    /** Forgets all parts, as after the cache store was lost: it may come back empty. */
    public void clear() {
        savedNanos.clear();
        unannounced.clear();
    }
}
