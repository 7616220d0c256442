package org.geraniumford.core.fleet;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What an engine probably has cached, by what all entries sent to it. The least recently used parts are assumed to be
 * evicted first. It answers engines that hold fewer parts than are asked for: what one entry had read there must draw
 * the requests of all others, or every engine reads every part in turn. Not thread-safe.
 */
public final class CacheEstimate {
    /** How many parts of one engine are kept for the next pulse; a link that takes none for so long is broken. */
    private static final int MAX_UNANNOUNCED_SEGMENTS = 64;

    /** The last shared part and the request's own tell of a whole prompt: no part is cached without those before it. */
    private static final int ANNOUNCED_SEGMENTS_PER_PROMPT = 2;

    private final LinkedHashMap<Long, Long> tokensByKey = new LinkedHashMap<>(64, 0.75f, true);
    private final List<ScopedSegment> unannounced = new ArrayList<>();
    private long capacityTokens;
    private long heldTokens;

    private CacheEstimate(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    // -- construction

    /**
     * Creates a belief that nothing is cached.
     *
     * @param capacityTokens the tokens that the engine can cache
     * @return an empty belief
     */
    public static CacheEstimate empty(long capacityTokens) {
        return new CacheEstimate(capacityTokens);
    }

    // -- queries

    /**
     * Counts the leading tokens of a prompt that are probably cached.
     *
     * @param parts the prompt's parts
     * @return the tokens up to the last part that is held
     */
    public long cachedTokens(List<ScopedSegment> parts) {
        long cached = 0;
        long leading = 0;
        for (ScopedSegment part : parts) {
            leading += part.tokens();
            if (tokensByKey.containsKey(part.key())) {
                cached = leading;
            }
        }
        return cached;
    }

    /**
     * Returns the parts to tell the other entries of.
     *
     * @return what this entry had read since the last {@link #markAnnounced}
     */
    public List<ScopedSegment> unannounced() {
        return List.copyOf(unannounced);
    }

    // -- commands

    /**
     * Notes that a prompt is read for this entry.
     *
     * @param parts the prompt's parts
     */
    public void recordPrefilled(List<ScopedSegment> parts) {
        applyGossip(parts);
        parts.stream()
                .skip(Math.max(0, parts.size() - ANNOUNCED_SEGMENTS_PER_PROMPT))
                .limit(MAX_UNANNOUNCED_SEGMENTS - unannounced.size())
                .forEach(unannounced::add);
    }

    /** Notes that the other entries were told of the fresh parts. */
    public void markAnnounced() {
        unannounced.clear();
    }

    /**
     * Takes what another entry had read.
     *
     * @param parts the parts, oldest first
     */
    public void applyGossip(List<ScopedSegment> parts) {
        requireNonNull(parts, "parts is null");
        parts.forEach(part -> {
            Long before = tokensByKey.put(part.key(), part.tokens());
            heldTokens += part.tokens() - (before == null ? 0 : before);
        });
        evict();
    }

    /**
     * Takes the size of the engine's cache.
     *
     * @param tokens the tokens that it can hold
     */
    public void resize(long tokens) {
        capacityTokens = tokens;
        evict();
    }

    /** Forgets everything, as an engine does when it restarts or loads other weights. */
    public void clear() {
        tokensByKey.clear();
        unannounced.clear();
        heldTokens = 0;
    }

    private void evict() {
        Iterator<Map.Entry<Long, Long>> oldest = tokensByKey.entrySet().iterator();
        while (heldTokens > capacityTokens && oldest.hasNext()) {
            heldTokens -= oldest.next().getValue();
            oldest.remove();
        }
    }
}
