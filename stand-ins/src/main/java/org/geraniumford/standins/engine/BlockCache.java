package org.geraniumford.standins.engine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumford.core.prefix.BlockKey;

/** A prefix cache of limited size that drops the least recently used pieces. */
final class BlockCache {
    private final int capacity;
    private final CacheListener listener;
    private final LinkedHashMap<BlockKey, CachedBlock> blocks = new LinkedHashMap<>(16, 0.75f, true);
    private final Set<BlockKey> everComputed = new HashSet<>();
    private long hits;
    private long addComputed;
    private long recomputed;
    private long leaks;

    BlockCache(int capacity, CacheListener listener) {
        this.capacity = capacity;
        this.listener = listener;
    }

    // -- commands

    /** Uses the leading pieces that are cached and returns their number. */
    int matchPrefix(CompletionRequest request) {
        int matched = 0;
        for (BlockKey key : request.pieceKeys()) {
            CachedBlock piece = blocks.get(key);
            if (piece == null) {
                break;
            }
            leaks += piece.belongsTo(request) ? 0 : 1;
            matched++;
        }
        hits += matched;
        return matched;
    }

    /** Adds the pieces that a prefill computed. */
    void addComputed(CompletionRequest request, int fromPiece) {
        List<BlockKey> added = new ArrayList<>();
        for (int i = fromPiece; i < request.pieceKeys().size(); i++) {
            BlockKey key = request.pieceKeys().get(i);
            addComputed++;
            recomputed += everComputed.add(key) ? 0 : 1;
            CachedBlock piece = new CachedBlock(
                    request.cacheSalt(),
                    request.weightsDigest(),
                    request.pieceTokens().get(i));
            if (blocks.put(key, piece) == null) {
                added.add(key);
            }
        }
        notifyAndEvict(added);
    }

    /** Adds a piece from elsewhere. */
    void addImported(BlockKey key, CachedBlock piece) {
        if (blocks.put(key, piece) == null) {
            notifyAndEvict(List.of(key));
        }
    }

    /** Drops everything and tells the listener. */
    void clear() {
        List<BlockKey> dropped = keys();
        blocks.clear();
        if (!dropped.isEmpty()) {
            listener.evicted(dropped);
        }
    }

    /** Drops everything, as a crash does. */
    void clearSilently() {
        blocks.clear();
    }

    // -- queries

    Optional<CachedBlock> find(BlockKey key) {
        return blocks.containsKey(key) ? Optional.of(blocks.get(key)) : Optional.empty();
    }

    List<BlockKey> keys() {
        return List.copyOf(blocks.keySet());
    }

    int size() {
        return blocks.size();
    }

    EngineCounters counters(long executed) {
        return new EngineCounters(hits, addComputed, recomputed, leaks, executed);
    }

    // -- eviction

    private void notifyAndEvict(List<BlockKey> added) {
        if (!added.isEmpty()) {
            listener.stored(added);
        }
        List<BlockKey> dropped = evict();
        if (!dropped.isEmpty()) {
            listener.evicted(dropped);
        }
    }

    private List<BlockKey> evict() {
        int excess = Math.max(0, blocks.size() - capacity);
        List<BlockKey> dropped =
                blocks.entrySet().stream().limit(excess).map(Map.Entry::getKey).toList();
        dropped.forEach(blocks::remove);
        return dropped;
    }
}
