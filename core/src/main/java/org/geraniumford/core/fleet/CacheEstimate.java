package org.geraniumford.core.fleet;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimate of the segments in an engine's prefix cache, based on the prompts that all entries sent to it. The least
 * recently used segments are assumed to be evicted first. One engine cannot cache all segments in use. All entries must
 * therefore send the requests for a segment to the engine that has already prefilled it for any of them. Otherwise
 * every engine would prefill every segment. Not thread-safe.
 */
public final class CacheEstimate {
    /**
     * The largest number of segments of one engine that wait for the next gossip message. Further ones are dropped. So
     * many wait only if no message could be sent for a long time, which means that the links to the peers are broken.
     */
    private static final int MAX_UNANNOUNCED_SEGMENTS = 64;

    /**
     * The last shared segment and the request's own segment are enough to announce a prompt, because no segment is
     * cached without those before it.
     */
    private static final int ANNOUNCED_SEGMENTS_PER_PROMPT = 2;

    private final LinkedHashMap<Long, Long> tokensByKey = new LinkedHashMap<>(64, 0.75f, true);
    private final List<ScopedSegment> unannounced = new ArrayList<>();
    private long capacityTokens;
    private long cachedTokens;

    private CacheEstimate(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    // -- construction

    /**
     * Creates the estimate of an empty cache.
     *
     * @param capacityTokens the number of tokens that the engine can cache, 0 or more
     * @return an empty estimate
     */
    public static CacheEstimate empty(long capacityTokens) {
        return new CacheEstimate(capacityTokens);
    }

    // -- queries

    /**
     * Counts the leading tokens of a prompt that are probably cached.
     *
     * @param segments the prompt's segments, in order
     * @return the number of tokens up to the end of the last cached segment; no segment is cached without those before
     *     it
     */
    public long cachedTokens(List<ScopedSegment> segments) {
        long cached = 0;
        long leading = 0;
        for (ScopedSegment segment : segments) {
            leading += segment.tokens();
            if (tokensByKey.containsKey(segment.key())) {
                cached = leading;
            }
        }
        return cached;
    }

    /**
     * Returns the segments that are still to be announced to the other entries.
     *
     * @return the segments prefilled for this entry since the last {@link #markAnnounced}, at most 64, oldest first
     */
    public List<ScopedSegment> unannounced() {
        return List.copyOf(unannounced);
    }

    // -- commands

    /**
     * Records that the engine prefills a prompt for this entry.
     *
     * @param segments the prompt's segments, in order
     */
    public void recordPrefilled(List<ScopedSegment> segments) {
        applyGossip(segments);
        segments.stream()
                .skip(Math.max(0, segments.size() - ANNOUNCED_SEGMENTS_PER_PROMPT))
                .limit(MAX_UNANNOUNCED_SEGMENTS - unannounced.size())
                .forEach(unannounced::add);
    }

    /** Records that the segments of {@link #unannounced} were sent to the other entries. */
    public void markAnnounced() {
        unannounced.clear();
    }

    /**
     * Adds segments that the engine prefilled for another entry.
     *
     * @param segments the segments, oldest first
     */
    public void applyGossip(List<ScopedSegment> segments) {
        requireNonNull(segments, "segments is null");
        segments.forEach(segment -> {
            Long previous = tokensByKey.put(segment.key(), segment.tokens());
            cachedTokens += segment.tokens() - (previous == null ? 0 : previous);
        });
        evict();
    }

    /**
     * Sets the capacity of the engine's cache and evicts the segments that exceed it.
     *
     * @param tokens the number of tokens that the engine can cache, 0 or more
     */
    public void resize(long tokens) {
        capacityTokens = tokens;
        evict();
    }

    /** Removes all segments, because an engine that restarts or loads other weights drops its cache. */
    public void clear() {
        tokensByKey.clear();
        unannounced.clear();
        cachedTokens = 0;
    }

    private void evict() {
        Iterator<Map.Entry<Long, Long>> leastRecent = tokensByKey.entrySet().iterator();
        while (cachedTokens > capacityTokens && leastRecent.hasNext()) {
            cachedTokens -= leastRecent.next().getValue();
            leastRecent.remove();
        }
    }
}
