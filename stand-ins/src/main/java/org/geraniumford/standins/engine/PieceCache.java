package org.geraniumford.standins.engine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumford.core.prefix.PieceKey;

/** A prefix cache of limited size that drops the least recently used pieces. */
final class PieceCache {
    private final int capacity;
    private final CacheListener listener;
    private final LinkedHashMap<PieceKey, CachedPiece> pieces = new LinkedHashMap<>(16, 0.75f, true);
    private final Set<PieceKey> everComputed = new HashSet<>();
    private long hits;
    private long computed;
    private long recomputed;
    private long leaks;

    PieceCache(int capacity, CacheListener listener) {
        this.capacity = capacity;
        this.listener = listener;
    }

    // -- commands

    /** Uses the leading pieces that are cached and returns their number. */
    int match(CompletionRequest request) {
        int matched = 0;
        for (PieceKey key : request.pieceKeys()) {
            CachedPiece piece = pieces.get(key);
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
    void computed(CompletionRequest request, int fromPiece) {
        List<PieceKey> added = new ArrayList<>();
        for (int i = fromPiece; i < request.pieceKeys().size(); i++) {
            PieceKey key = request.pieceKeys().get(i);
            computed++;
            recomputed += everComputed.add(key) ? 0 : 1;
            CachedPiece piece = new CachedPiece(
                    request.cacheSalt(),
                    request.weightsDigest(),
                    request.pieceTokens().get(i));
            if (pieces.put(key, piece) == null) {
                added.add(key);
            }
        }
        changed(added);
    }

    /** Adds a piece from elsewhere. */
    void imported(PieceKey key, CachedPiece piece) {
        if (pieces.put(key, piece) == null) {
            changed(List.of(key));
        }
    }

    /** Drops everything and tells the listener. */
    void clear() {
        List<PieceKey> dropped = keys();
        pieces.clear();
        if (!dropped.isEmpty()) {
            listener.evicted(dropped);
        }
    }

    /** Drops everything, as a crash does. */
    void lose() {
        pieces.clear();
    }

    // -- queries

    Optional<CachedPiece> find(PieceKey key) {
        return pieces.containsKey(key) ? Optional.of(pieces.get(key)) : Optional.empty();
    }

    List<PieceKey> keys() {
        return List.copyOf(pieces.keySet());
    }

    int size() {
        return pieces.size();
    }

    EngineCounters counters(long executed) {
        return new EngineCounters(hits, computed, recomputed, leaks, executed);
    }

    // -- eviction

    private void changed(List<PieceKey> added) {
        if (!added.isEmpty()) {
            listener.stored(added);
        }
        List<PieceKey> dropped = evict();
        if (!dropped.isEmpty()) {
            listener.evicted(dropped);
        }
    }

    private List<PieceKey> evict() {
        int excess = Math.max(0, pieces.size() - capacity);
        List<PieceKey> dropped =
                pieces.entrySet().stream().limit(excess).map(Map.Entry::getKey).toList();
        dropped.forEach(pieces::remove);
        return dropped;
    }
}
