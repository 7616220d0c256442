package org.geraniumford.core.quarantine;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.util.Collection;
import java.util.Set;

/**
 * Which entry may try held segments at a time, so that two entries do not try the same ones before they have heard of
 * each other. The order of the entries is found by rendezvous hashing.
 */
final class TrialTurns {
    /** Longer than gossip takes from one entry to another. */
    private static final Duration TURN = Duration.ofMillis(500);

    /**
     * After this time each entry may try at any time: whoever has not tried by then gets few requests with the
     * segments, so two at the same time are rare.
     */
    private static final Duration TURNS_END = Duration.ofSeconds(6);

    /** From this count on only the first entry tries, because each trial is likely to end an engine. */
    private static final int FIRST_OWNED_COUNT = 3;

    /** When a request may be sent again that another entry has to try. */
    private static final Duration OTHER_ENTRY_WAIT = Duration.ofSeconds(5);

    private final String entry;
    private Set<String> peers = Set.of();

    private TrialTurns(String entry) {
        this.entry = entry;
    }

    // -- construction

    static TrialTurns of(String entry) {
        return new TrialTurns(entry);
    }

    // -- queries

    /**
     * Returns the time until this entry may try.
     *
     * @param key a key of the segments
     * @param count the number of ends that count against the most suspect segment
     * @param waited the time since the segments may be tried; negative before
     * @return the time; zero or negative if the entry may try now
     */
    Duration wait(long key, int count, Duration waited) {
        if (waited.isNegative()) {
            return waited.negated();
        }
        long rank = rank(key);
        if (count >= FIRST_OWNED_COUNT) {
            return rank == 0 ? Duration.ZERO : OTHER_ENTRY_WAIT;
        }
        long turn = waited.dividedBy(TURN);
        long turnsLeft = Math.floorMod(rank - turn, peers.size() + 1);
        Duration untilTurn = turnsLeft == 0
                ? Duration.ZERO
                : TURN.multipliedBy(turn + turnsLeft).minus(waited);
        Duration untilEnd = TURNS_END.minus(waited);
        return untilTurn.compareTo(untilEnd) < 0 ? untilTurn : untilEnd;
    }

    /** Returns the number of live entries that come before this one. */
    private long rank(long key) {
        long ownScore = score(key, entry);
        return peers.stream().filter(peer -> score(key, peer) > ownScore).count();
    }

    private static long score(long key, String name) {
        return Hashing.xxh3_64().hashStream().putLong(key).putString(name).getAsLong();
    }

    // -- commands

    void updatePeers(Collection<String> alivePeers) {
        peers = Set.copyOf(alivePeers);
    }
}
