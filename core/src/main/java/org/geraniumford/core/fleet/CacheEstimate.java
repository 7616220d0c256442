package org.geraniumford.core.fleet;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

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

    /** The time after which a segment counts as prefilled: a long prompt and the wait before it. */
    private static final Duration PREFILL_TIME = Duration.ofMillis(800);

    /** The part of the capacity that may have been used after a segment that other engines fetch. */
    private static final double PROVIDED_FRACTION = 0.6;

    /** The segments in the order of their last use, the least recently used one first. */
    private final LinkedHashMap<Long, CachedSegment> segmentsByKey = new LinkedHashMap<>(64, 0.75f, true);

    private final LongSupplier nanoClock;
    private final List<ScopedSegment> unannounced = new ArrayList<>();
    private long capacityTokens;
    private long cachedTokens;

    private CacheEstimate(long capacityTokens, LongSupplier nanoClock) {
        this.capacityTokens = capacityTokens;
        this.nanoClock = nanoClock;
    }

    /** A segment with the time of {@link System#nanoTime} since which it is cached. */
    private record CachedSegment(long tokens, long sinceNanos) {}

    // -- construction

    /**
     * Creates the estimate of an empty cache.
     *
     * @param capacityTokens the number of tokens that the engine can cache, 0 or more
     * @return an empty estimate
     */
    public static CacheEstimate empty(long capacityTokens) {
        return of(capacityTokens, System::nanoTime);
    }

    static CacheEstimate of(long capacityTokens, LongSupplier nanoClock) {
        return new CacheEstimate(capacityTokens, nanoClock);
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
            if (segmentsByKey.containsKey(segment.key())) {
                cached = leading;
            }
        }
        return cached;
    }

    /**
     * Returns whether another engine can fetch the segments from this one. The estimate must be more certain than that
     * of {@link #cachedTokens}, because a fetch that finds nothing means that the segments are prefilled once more.
     *
     * @param segments the segments, in order
     * @return true if the last segment was recorded long enough ago to be prefilled now, and was used recently enough
     *     not to be evicted by the time of the fetch
     */
    public boolean canProvide(List<ScopedSegment> segments) {
        if (segments.isEmpty()) {
            return false;
        }
        long key = segments.get(segments.size() - 1).key();
        return segmentsByKey.containsKey(key)
                && nanoClock.getAsLong() - sinceNanos(key) >= PREFILL_TIME.toNanos()
                && tokensUsedAfter(key) <= PROVIDED_FRACTION * capacityTokens;
    }

    private long sinceNanos(long key) {
        // An entry of the set leaves the order of use as it is, unlike a call of get.
        return segmentsByKey.entrySet().stream()
                .filter(entry -> entry.getKey() == key)
                .mapToLong(entry -> entry.getValue().sinceNanos())
                .findFirst()
                .orElseThrow();
    }

    private long tokensUsedAfter(long key) {
        return segmentsByKey.entrySet().stream()
                .dropWhile(entry -> entry.getKey() != key)
                .skip(1)
                .mapToLong(entry -> entry.getValue().tokens())
                .sum();
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
            CachedSegment previous = segmentsByKey.get(segment.key());
            long sinceNanos = previous == null ? nanoClock.getAsLong() : previous.sinceNanos();
            segmentsByKey.put(segment.key(), new CachedSegment(segment.tokens(), sinceNanos));
            cachedTokens += segment.tokens() - (previous == null ? 0 : previous.tokens());
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
        segmentsByKey.clear();
        unannounced.clear();
        cachedTokens = 0;
    }

    private void evict() {
        Iterator<Map.Entry<Long, CachedSegment>> leastRecent =
                segmentsByKey.entrySet().iterator();
        while (cachedTokens > capacityTokens && leastRecent.hasNext()) {
            cachedTokens -= leastRecent.next().getValue().tokens();
            leastRecent.remove();
        }
    }
}
