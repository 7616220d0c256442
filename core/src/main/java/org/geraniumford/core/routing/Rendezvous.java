package org.geraniumford.core.routing;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Comparator;
import java.util.List;
import org.geraniumford.core.prefix.BlockKey;

/** Rendezvous hashing: orders hosts for each key such that the order changes little when hosts join or leave. */
final class Rendezvous {
    private static final Hasher64 HASHER = Hashing.wyhashFinal4();

    private Rendezvous() {}

    // -- queries

    /** Returns the first {@code limit} engines in the rendezvous order of a key. */
    static List<ConnectedEngine> order(BlockKey key, List<ConnectedEngine> engines, int limit) {
        return engines.stream()
                .map(engine -> new ScoredEngine(engine, score(key, engine.host())))
                .sorted(Comparator.comparingLong(ScoredEngine::score).reversed())
                .limit(limit)
                .map(ScoredEngine::engine)
                .toList();
    }

    private static long score(BlockKey key, String host) {
        return HASHER.hashLongLongLongToLong(key.high(), key.low(), HASHER.hashCharsToLong(host));
    }

    private record ScoredEngine(ConnectedEngine engine, long score) {}
}
