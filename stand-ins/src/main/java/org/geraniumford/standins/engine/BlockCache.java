package org.geraniumford.standins.engine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumford.core.prefix.BlockKey;

/** A prefix cache of limited size that evicts the least recently used blocks. */
final class BlockCache {
    private final int capacityBlocks;
    private final CacheListener listener;
    /** In access order: iteration starts with the least recently used block. */
    private final LinkedHashMap<BlockKey, CachedBlock> blocks = new LinkedHashMap<>(16, 0.75f, true);

    private final Set<BlockKey> everComputed = new HashSet<>();
    private long hits;
    private long computed;
    private long recomputed;
    private long leaks;

    BlockCache(int capacityBlocks, CacheListener listener) {
        this.capacityBlocks = capacityBlocks;
        this.listener = listener;
    }

    // -- commands

    /**
     * Returns the number of leading blocks of a prompt that are cached, and marks them as recently used. Blocks of
     * another customer or of other weights match too, and are counted as leaks.
     */
    int matchPrefix(CompletionRequest request) {
        int matched = 0;
        for (BlockKey key : request.pieceKeys()) {
            CachedBlock block = blocks.get(key);
            if (block == null) {
                break;
            }
            leaks += block.belongsTo(request) ? 0 : 1;
            matched++;
        }
        hits += matched;
        return matched;
    }

    /** Adds the blocks that a prefill computed: those of the prompt from index {@code firstBlock} to the last. */
    void addComputed(CompletionRequest request, int firstBlock) {
        List<BlockKey> added = new ArrayList<>();
        for (int i = firstBlock; i < request.pieceKeys().size(); i++) {
            BlockKey key = request.pieceKeys().get(i);
            computed++;
            recomputed += everComputed.add(key) ? 0 : 1;
            CachedBlock block = new CachedBlock(
                    request.cacheSalt(),
                    request.weightsDigest(),
                    request.pieceTokens().get(i));
            if (blocks.put(key, block) == null) {
                added.add(key);
            }
        }
        notifyAndEvict(added);
    }

    /** Adds a block that another engine computed. */
    void addImported(BlockKey key, CachedBlock block) {
        if (blocks.put(key, block) == null) {
            notifyAndEvict(List.of(key));
        }
    }

    /** Evicts every block and notifies the listener. */
    void clear() {
        List<BlockKey> evicted = keys();
        blocks.clear();
        if (!evicted.isEmpty()) {
            listener.evicted(evicted);
        }
    }

    /** Drops every block without notifying the listener, as a crash does. */
    void clearSilently() {
        blocks.clear();
    }

    // -- queries

    /** Returns a block if it is cached, and marks it as recently used. */
    Optional<CachedBlock> find(BlockKey key) {
        return blocks.containsKey(key) ? Optional.of(blocks.get(key)) : Optional.empty();
    }

    List<BlockKey> keys() {
        return List.copyOf(blocks.keySet());
    }

    int size() {
        return blocks.size();
    }

    /** Returns the counters of the engine: those of this cache, and the given number of executed requests. */
    EngineCounters counters(long executedRequests) {
        return new EngineCounters(hits, computed, recomputed, leaks, executedRequests);
    }

    // -- eviction

    private void notifyAndEvict(List<BlockKey> added) {
        if (!added.isEmpty()) {
            listener.stored(added);
        }
        List<BlockKey> evicted = evict();
        if (!evicted.isEmpty()) {
            listener.evicted(evicted);
        }
    }

    private List<BlockKey> evict() {
        int excess = Math.max(0, blocks.size() - capacityBlocks);
        List<BlockKey> evicted =
                blocks.entrySet().stream().limit(excess).map(Map.Entry::getKey).toList();
        evicted.forEach(blocks::remove);
        return evicted;
    }
}
