package org.geraniumford.core.cache;

import static java.util.Objects.requireNonNull;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.geraniumford.core.prefix.Block;
import org.geraniumford.core.prefix.BlockKey;

/**
 * The pieces that one incarnation of an engine holds, in the order of their last known use. It learns from the engine's
 * cache events, from the answers to requests, and from snapshots. A later incarnation voids all claims of an earlier
 * one, in whatever order messages arrive. Not thread-safe.
 */
public final class CacheIndex implements CacheView {
    private final GapPolicy policy;
    private final Map<Long, Claim> claims = new LinkedHashMap<>();
    private long incarnation;
    private long sequence;
    private long events;
    private long evictions;
    private boolean isIncomplete = true;
    private CacheCounts counts = CacheCounts.ZERO;

    private CacheIndex(GapPolicy policy) {
        this.policy = policy;
    }

    // -- construction

    /**
     * Creates an index that knows of no engine yet.
     *
     * @param policy what becomes of the index when events are missing
     * @return an empty index
     */
    public static CacheIndex of(GapPolicy policy) {
        return new CacheIndex(requireNonNull(policy, "policy is null"));
    }

    // -- commands

    /**
     * Learns that an incarnation of the engine exists.
     *
     * @param seen the incarnation
     * @return false if it is older than the one already known
     */
    public boolean incarnation(long seen) {
        if (seen < incarnation) {
            counts = counts.plusStale();
            return false;
        }
        if (seen > incarnation) {
            claims.clear();
            incarnation = seen;
            sequence = 0;
            isIncomplete = false;
        }
        return true;
    }

    /**
     * Applies an event.
     *
     * @param event the event
     */
    public void apply(CacheEvent event) {
        if (!incarnation(event.incarnation())) {
            return;
        }
        if (event.sequence() <= sequence) {
            applyLate(event);
            return;
        }
        if (event.sequence() > sequence + 1) {
            voidAfterGap(event.sequence() - sequence - 1);
        }
        sequence = event.sequence();
        events++;
        evictions += event.kind() == CacheEvent.Kind.EVICTED ? event.keys().size() : 0;
        event.keys().forEach(key -> updateClaim(event.kind(), key));
    }

    /**
     * Learns from the engine's answer to a request what it held of the prompt.
     *
     * @param seen the incarnation that answers
     * @param pieces the prompt's pieces
     * @param cachedPieces how many leading pieces the engine took from its cache
     */
    public void observe(long seen, List<Block> pieces, int cachedPieces) {
        if (!incarnation(seen)) {
            return;
        }
        int held = Math.max(0, Math.min(cachedPieces, pieces.size()));
        long wrong = pieces.subList(held, pieces.size()).stream()
                .filter(piece -> claims.remove(piece.key().shortDigest()) != null)
                .count();
        counts = counts.plusWrong(wrong);
        pieces.subList(0, held).forEach(piece -> updateClaim(CacheEvent.Kind.STORED, piece.key()));
    }

    /**
     * Replaces the claims by a snapshot.
     *
     * @param snapshot the engine's whole cache
     * @return false if events later than the snapshot were applied already; the index is then unchanged
     */
    public boolean replace(CacheSnapshot snapshot) {
        if (!incarnation(snapshot.incarnation()) || snapshot.sequence() < sequence) {
            return false;
        }
        sequence = snapshot.sequence();
        isIncomplete = false;
        Map<Long, Claim> held = new LinkedHashMap<>();
        snapshot.keys().forEach(key -> held.put(key.shortDigest(), new Claim(key.low(), sequence)));
        claims.keySet().retainAll(held.keySet());
        held.forEach(claims::putIfAbsent);
        return true;
    }

    private void updateClaim(CacheEvent.Kind kind, BlockKey key) {
        claims.remove(key.shortDigest());
        if (kind == CacheEvent.Kind.STORED) {
            claims.put(key.shortDigest(), new Claim(key.low(), sequence));
        }
    }

    /** A late eviction is believed where nothing later is known; a late store may have been undone since. */
    private void applyLate(CacheEvent event) {
        counts = counts.plusLate();
        if (event.kind() == CacheEvent.Kind.EVICTED) {
            event.keys()
                    .forEach(key -> claims.computeIfPresent(
                            key.shortDigest(), (digest, claim) -> claim.sequence() < event.sequence() ? null : claim));
        }
    }

    private void voidAfterGap(long lostEvents) {
        int voided = policy.voidedClaims(lostEvents, evictionsPerEvent(), claims.size());
        Iterator<Claim> oldest = claims.values().iterator();
        for (int i = 0; i < voided; i++) {
            oldest.next();
            oldest.remove();
        }
        isIncomplete = true;
        counts = counts.plusGap(lostEvents, voided);
    }

    private double evictionsPerEvent() {
        return events == 0 ? 0 : (double) evictions / events;
    }

    // -- queries

    @Override
    public int cachedBlocks(List<Block> pieces) {
        int matched = 0;
        while (matched < pieces.size() && hasBlock(pieces.get(matched).key())) {
            matched++;
        }
        return matched;
    }

    /**
     * Counts the leading pieces of a probe that the engine holds.
     *
     * @param shortDigests the first half of each piece's key, first to last
     * @return 0 up to the number of digests
     */
    public int matchedBlocks(List<Long> shortDigests) {
        int matched = 0;
        while (matched < shortDigests.size() && claims.containsKey(shortDigests.get(matched))) {
            matched++;
        }
        return matched;
    }

    /**
     * Says whether the engine holds a piece.
     *
     * @param key the piece's key
     * @return true if it is believed to
     */
    public boolean hasBlock(BlockKey key) {
        Claim claim = claims.get(key.shortDigest());
        return claim != null && claim.low() == key.low();
    }

    /**
     * Returns the incarnation to which the claims belong.
     *
     * @return 0 before the first one is known
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Returns the number of the last event applied.
     *
     * @return 0 before the first one
     */
    public long sequence() {
        return sequence;
    }

    /**
     * Says whether events were missing since the last snapshot, so that a new one would help.
     *
     * @return true if the index may lack pieces or claim too many
     */
    public boolean isIncomplete() {
        return isIncomplete;
    }

    /**
     * Returns the number of claims.
     *
     * @return 0 or more
     */
    public int size() {
        return claims.size();
    }

    /**
     * Returns what the index has met.
     *
     * @return counts since its start
     */
    public CacheCounts counts() {
        return counts;
    }

    /** The second half of the key, and the number of the last event when the piece was known to be held. */
    private record Claim(long low, long sequence) {}
}
