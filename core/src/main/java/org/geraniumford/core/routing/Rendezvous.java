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
    static List<ConnectedEngine> order(BlockKey key, List<ConnectedEngine> backends, int limit) {
        return backends.stream()
                .map(backend -> new ScoredBackend(backend, score(key, backend.host())))
                .sorted(Comparator.comparingLong(ScoredBackend::score).reversed())
                .limit(limit)
                .map(ScoredBackend::backend)
                .toList();
    }

    private static long score(BlockKey key, String host) {
        return HASHER.hashLongLongLongToLong(key.high(), key.low(), HASHER.hashCharsToLong(host));
    }

    private record ScoredBackend(ConnectedEngine backend, long score) {}
}
