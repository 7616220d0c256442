package org.geraniumford.core.routing;

import java.util.Comparator;
import java.util.List;
import org.geraniumford.core.prefix.PieceKey;

/** Rendezvous hashing: an order of hosts for each key that changes little when hosts come and go. */
final class Rendezvous {
    private static final long FIRST_MULTIPLIER = 0xbf58476d1ce4e5b9L;
    private static final long SECOND_MULTIPLIER = 0x94d049bb133111ebL;
    private static final int FIRST_SHIFT = 30;
    private static final int SECOND_SHIFT = 27;
    private static final int THIRD_SHIFT = 31;
    private static final long NAME_MULTIPLIER = 1099511628211L;
    private static final long NAME_BASIS = 0xcbf29ce484222325L;

    private Rendezvous() {}

    // -- queries

    static List<Backend> order(PieceKey key, List<Backend> backends, int limit) {
        return backends.stream()
                .map(backend -> new Scored(backend, score(key, backend.host())))
                .sorted(Comparator.comparingLong(Scored::score).reversed())
                .limit(limit)
                .map(Scored::backend)
                .toList();
    }

    private static long score(PieceKey key, String host) {
        return mix(key.high() ^ mix(key.low() ^ nameHash(host)));
    }

    private static long nameHash(String host) {
        long hash = NAME_BASIS;
        for (int i = 0; i < host.length(); i++) {
            hash = (hash ^ host.charAt(i)) * NAME_MULTIPLIER;
        }
        return hash;
    }

    private static long mix(long value) {
        long first = (value ^ (value >>> FIRST_SHIFT)) * FIRST_MULTIPLIER;
        long second = (first ^ (first >>> SECOND_SHIFT)) * SECOND_MULTIPLIER;
        return second ^ (second >>> THIRD_SHIFT);
    }

    private record Scored(Backend backend, long score) {}
}
