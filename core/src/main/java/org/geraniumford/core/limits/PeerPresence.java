package org.geraniumford.core.limits;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Which entries this one hears, as far as limits of customers depend on it. Both sides of a partition use a whole limit
 * until they notice it, so silence counts earlier here than for loads. Not thread-safe; times are from
 * {@link System#nanoTime}.
 */
final class PeerPresence {
    /**
     * Peers send a message at least every 450 ms while a limit is in use, and every 600 ms otherwise; one may be lost.
     */
    static final Duration TIMEOUT = Duration.ofSeconds(1);

    /** After a longer gap between two uses of this object, this process was paused and could not hear anybody. */
    private static final Duration MAX_GAP = Duration.ofMillis(300);

    /** For how long the result of counting is used again. */
    private static final Duration COUNT_VALIDITY = Duration.ofMillis(10);

    /** How many entries share a limit until the list of entries is read; more than in the largest deployment. */
    private static final int ASSUMED_ENTRIES = 64;

    /**
     * When a peer was heard, and what its last silence was.
     *
     * @param heardNanos the time of its last message
     * @param returnedNanos the time of the first message after its last silence
     * @param silentNanos how long that silence lasted; 0 if there was none
     */
    private record Peer(long heardNanos, long returnedNanos, long silentNanos) {}

    private final Map<String, Peer> peers = new HashMap<>();
    private OptionalInt listedEntries = OptionalInt.empty();
    private long lastNanos;
    private long countedNanos;
    private int heard;

    private PeerPresence(long nowNanos) {
        lastNanos = nowNanos;
        countedNanos = nowNanos - COUNT_VALIDITY.toNanos();
    }

    // -- construction

    static PeerPresence empty(long nowNanos) {
        return new PeerPresence(nowNanos);
    }

    // -- queries

    /** Returns the number of entries that share the limits. */
    int entries() {
        return Math.max(heard + 1, listedEntries.orElse(ASSUMED_ENTRIES));
    }

    /** Returns the part of a limit that this entry and the peers that it hears may use together. */
    double fraction(long nowNanos) {
        observe(nowNanos);
        if (nowNanos - countedNanos >= COUNT_VALIDITY.toNanos()) {
            countedNanos = nowNanos;
            heard = 0;
            for (Peer peer : peers.values()) {
                heard += isSilent(peer, nowNanos) ? 0 : 1;
            }
        }
        return new EntryShare(heard, entries(), 0).fraction();
    }

    /** Returns how long a peer was silent that is heard again since a short time; zero if it was not silent. */
    Duration endedSilence(String peer, long nowNanos) {
        Peer found = peers.get(peer);
        boolean returned = found != null && nowNanos - found.returnedNanos <= MAX_GAP.toNanos();
        return returned ? Duration.ofNanos(found.silentNanos) : Duration.ZERO;
    }

    private static boolean isSilent(Peer peer, long nowNanos) {
        return nowNanos - peer.heardNanos > TIMEOUT.toNanos();
    }

    // -- commands

    void setListedEntries(OptionalInt entries) {
        listedEntries = entries;
    }

    /** Records a message of a peer. */
    void hear(String name, long nowNanos) {
        observe(nowNanos);
        Peer before = peers.get(name);
        if (before == null) {
            peers.put(name, new Peer(nowNanos, nowNanos - MAX_GAP.toNanos() - 1, 0));
            countedNanos = nowNanos - COUNT_VALIDITY.toNanos();
        } else if (isSilent(before, nowNanos)) {
            peers.put(name, new Peer(nowNanos, nowNanos, nowNanos - before.heardNanos));
            countedNanos = nowNanos - COUNT_VALIDITY.toNanos();
        } else {
            peers.put(name, new Peer(nowNanos, before.returnedNanos, before.silentNanos));
        }
    }

    /** Records that this process runs. A pause of it does not count as silence of the peers heard before. */
    void observe(long nowNanos) {
        if (nowNanos - lastNanos > MAX_GAP.toNanos()) {
            long beforeNanos = lastNanos;
            peers.replaceAll((name, peer) ->
                    isSilent(peer, beforeNanos) ? peer : new Peer(nowNanos, peer.returnedNanos, peer.silentNanos));
        }
        lastNanos = nowNanos;
    }
}
