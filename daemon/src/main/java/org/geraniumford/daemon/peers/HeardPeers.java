package org.geraniumford.daemon.peers;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.geraniumford.transport.log.LogEvent;

/** The peers whose gossip arrives. Used on one network thread. */
final class HeardPeers {
    /** A peer that was silent for this long is not counted as alive. */
    private static final Duration PEER_TIMEOUT = Duration.ofSeconds(2);

    private final Map<String, Long> lastSeenNanos = new HashMap<>();

    private HeardPeers() {}

    // -- construction

    static HeardPeers empty() {
        return new HeardPeers();
    }

    // -- queries

    /** Returns the names of the peers that are counted as alive, as a view. */
    Set<String> names() {
        return lastSeenNanos.keySet();
    }

    int count() {
        return lastSeenNanos.size();
    }

    // -- commands

    void recordHeard(String peer, long nowNanos) {
        if (lastSeenNanos.put(peer, nowNanos) == null) {
            LogEvent.of("peer_heard").with("peer", peer).info();
        }
    }

    /** Removes the peers that were silent for too long, and returns their names. */
    List<String> removeSilent(long nowNanos) {
        List<String> silentPeers = lastSeenNanos.entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue() > PEER_TIMEOUT.toNanos())
                .map(Map.Entry::getKey)
                .toList();
        silentPeers.forEach(peer -> {
            LogEvent.of("peer_silent").with("peer", peer).info();
            lastSeenNanos.remove(peer);
        });
        return silentPeers;
    }
}
