package org.geraniumford.core.cache;

import static java.util.Objects.requireNonNull;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.geraniumford.core.prefix.Block;
import org.geraniumford.core.prefix.BlockKey;

/**
 * Index of the blocks that one incarnation of an engine has cached, in the order of their last known use. Each claim of
 * the index records one cached block. The index is updated from the engine's cache events, from its responses to
 * requests and from snapshots. A later incarnation voids all claims of an earlier one, in whatever order messages
 * arrive. Not thread-safe.
 */
public final class CacheIndex implements CacheView {
    private final GapPolicy policy;
    private final Map<Long, Claim> claims = new LinkedHashMap<>();
    private long incarnation;
    private long sequence;
    private long appliedEvents;
    private long evictedBlocks;
    private boolean incomplete = true;
    private CacheCounts counts = CacheCounts.ZERO;

    private CacheIndex(GapPolicy policy) {
        this.policy = policy;
    }

    // -- construction

    /**
     * Creates an index for which no incarnation of the engine is known yet.
     *
     * @param policy how claims are voided when events are missing
     * @return an empty index
     */
    public static CacheIndex of(GapPolicy policy) {
        return new CacheIndex(requireNonNull(policy, "policy is null"));
    }

    // -- commands

    /**
     * Records an observed incarnation of the engine. Voids all claims if it is later than the known one.
     *
     * @param observed the incarnation, larger is later
     * @return false if it is older than the known one
     */
    public boolean observeIncarnation(long observed) {
        if (observed < incarnation) {
            counts = counts.plusStale();
            return false;
        }
        if (observed > incarnation) {
            claims.clear();
            incarnation = observed;
            sequence = 0;
            incomplete = false;
        }
        return true;
    }

    /**
     * Applies a cache event. Voids claims according to the gap policy if events before it are missing.
     *
     * @param event the event; ignored if its incarnation is older than the known one
     */
    public void apply(CacheEvent event) {
        if (!observeIncarnation(event.incarnation())) {
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
        appliedEvents++;
        evictedBlocks += event.kind() == CacheEvent.Kind.EVICTED ? event.keys().size() : 0;
        event.keys().forEach(key -> updateClaim(event.kind(), key));
    }

    /**
     * Updates the claims from the number of cached blocks in the engine's response to a request.
     *
     * @param respondingIncarnation the incarnation that responded; the response is ignored if it is older than the
     *     known one
     * @param blocks the prompt's blocks, first to last
     * @param cachedBlocks the number of leading blocks that the engine found in its cache
     */
    public void applyResponse(long respondingIncarnation, List<Block> blocks, int cachedBlocks) {
        if (!observeIncarnation(respondingIncarnation)) {
            return;
        }
        int cached = Math.max(0, Math.min(cachedBlocks, blocks.size()));
        long wrong = blocks.subList(cached, blocks.size()).stream()
                .filter(block -> claims.remove(block.key().shortDigest()) != null)
                .count();
        counts = counts.plusWrong(wrong);
        blocks.subList(0, cached).forEach(block -> updateClaim(CacheEvent.Kind.STORED, block.key()));
    }

    /**
     * Replaces the claims by those of a snapshot. Claims that the snapshot confirms keep their place in the order of
     * use.
     *
     * @param snapshot the contents of the engine's whole cache
     * @return false if the snapshot's incarnation is older than the known one, or if later events were already applied;
     *     the claims are then unchanged
     */
    public boolean replace(CacheSnapshot snapshot) {
        if (!observeIncarnation(snapshot.incarnation()) || snapshot.sequence() < sequence) {
            return false;
        }
        sequence = snapshot.sequence();
        incomplete = false;
        Map<Long, Claim> snapshotClaims = new LinkedHashMap<>();
        snapshot.keys().forEach(key -> snapshotClaims.put(key.shortDigest(), new Claim(key.low(), sequence)));
        claims.keySet().retainAll(snapshotClaims.keySet());
        snapshotClaims.forEach(claims::putIfAbsent);
        return true;
    }

    private void updateClaim(CacheEvent.Kind kind, BlockKey key) {
        claims.remove(key.shortDigest());
        if (kind == CacheEvent.Kind.STORED) {
            claims.put(key.shortDigest(), new Claim(key.low(), sequence));
        }
    }

    /**
     * Applies an event that arrived after a later one. A late eviction removes a claim unless a later event or response
     * confirmed the claim or a later snapshot added it. A late store is ignored, because the block may have been
     * evicted since.
     */
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
        Iterator<Claim> leastRecent = claims.values().iterator();
        for (int i = 0; i < voided; i++) {
            leastRecent.next();
            leastRecent.remove();
        }
        incomplete = true;
        counts = counts.plusGap(lostEvents, voided);
    }

    /** Returns the mean over all events applied since the index was created, of any incarnation. */
    private double evictionsPerEvent() {
        return appliedEvents == 0 ? 0 : (double) evictedBlocks / appliedEvents;
    }

    // -- queries

    @Override
    public int cachedBlocks(List<Block> blocks) {
        int matched = 0;
        while (matched < blocks.size() && hasBlock(blocks.get(matched).key())) {
            matched++;
        }
        return matched;
    }

    /**
     * Counts the leading blocks of a probe that the engine is assumed to have cached.
     *
     * @param shortDigests the first 64 bits of each block's key, first to last
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
     * Returns whether the engine is assumed to have cached a block.
     *
     * @param key the block's key
     * @return true if the index has a claim for the whole key
     */
    public boolean hasBlock(BlockKey key) {
        Claim claim = claims.get(key.shortDigest());
        return claim != null && claim.low() == key.low();
    }

    /**
     * Returns the incarnation to which the claims belong.
     *
     * @return the latest observed incarnation; 0 before the first one
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Returns the sequence number of the last applied event or snapshot.
     *
     * @return the number within the incarnation; 0 before the first one
     */
    public long sequence() {
        return sequence;
    }

    /**
     * Returns whether the index needs a new snapshot, because events were missing since the last one or no incarnation
     * is known yet.
     *
     * @return true if the index may lack cached blocks or claim evicted ones
     */
    public boolean isIncomplete() {
        return incomplete;
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
     * Returns the counts of observed irregularities.
     *
     * @return the counts since the index was created
     */
    public CacheCounts counts() {
        return counts;
    }

    /**
     * A cached block.
     *
     * @param low the last 64 bits of the block's key
     * @param sequence the index's sequence number when the claim was added or was last confirmed by an event or a
     *     response
     */
    private record Claim(long low, long sequence) {}
}
