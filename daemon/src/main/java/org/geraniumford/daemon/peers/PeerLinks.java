package org.geraniumford.daemon.peers;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumford.transport.link.Link;
import org.geraniumford.transport.log.LogEvent;

/**
 * The links between this entry and its peers, one for each peer. Two entries that have connected to each other keep the
 * link that the one with the smaller name has opened, and of links to a restarted peer the one to its new process. A
 * link on which nothing arrives for long is closed, because the other end of a link may be gone without a word. Runs on
 * one network thread.
 */
final class PeerLinks {
    /** Peers send two messages a second or more; deployments allow 3 s or more to be in touch again. */
    private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(2500);

    private final String host;
    private final PeerConnectors connectors;

    private final Set<Link> open = new HashSet<>();

    /** When this process last began to read after a pause, from {@link System#nanoTime}. */
    private long readingSinceNanos = System.nanoTime();

    private final Map<Link, String> names = new HashMap<>();

    /** The start of the process at the other end of each link; a later one is a restarted peer. */
    private final Map<Link, Long> incarnations = new HashMap<>();

    private final Map<String, Link> byPeer = new HashMap<>();

    /** The links on which the peer was told everything, so that it has to be told only what changes. */
    private final Set<Link> informed = new HashSet<>();

    PeerLinks(String host, PeerConnectors connectors) {
        this.host = host;
        this.connectors = connectors;
    }

    // -- queries

    /** Returns the peer at the other end of a link; empty until it has told its name. */
    Optional<String> peer(Link link) {
        return Optional.ofNullable(names.get(link));
    }

    /** Returns one link for each peer. */
    Collection<Link> toPeers() {
        return List.copyOf(byPeer.values());
    }

    /** Returns how many links are open, those included whose peer has not told its name. */
    int count() {
        return open.size();
    }

    boolean isInformed(Link link) {
        return informed.contains(link);
    }

    // -- commands

    void markInformed(Link link) {
        informed.add(link);
    }

    void markUninformed(Link link) {
        informed.remove(link);
    }

    /** Closes the links on which nothing has arrived for long. */
    void closeSilent(long nowNanos) {
        open.stream().filter(link -> isSilent(link, nowNanos)).toList().forEach(link -> {
            LogEvent.of("link_silent")
                    .with("peer", names.getOrDefault(link, ""))
                    .with("address", link)
                    .info();
            link.close();
        });
    }

    private boolean isSilent(Link link, long nowNanos) {
        return nowNanos - link.lastReceivedNanos() > SILENCE_TIMEOUT.toNanos()
                && nowNanos - readingSinceNanos > SILENCE_TIMEOUT.toNanos();
    }

    /** Counts every link as just heard, because this process could not read while it was paused. */
    void forgetSilence(long nowNanos) {
        readingSinceNanos = nowNanos;
    }

    // -- events

    void opened(Link link) {
        open.add(link);
        connectors.opened(link);
    }

    /** Records the name of the peer at the other end, and closes the link or an earlier one to the same peer. */
    void named(Link link, String peer, long incarnation) {
        names.put(link, peer);
        incarnations.put(link, incarnation);
        if (peer.equals(host)) {
            link.close();
            return;
        }
        Link kept = byPeer.get(peer);
        if (kept == null || kept.equals(link)) {
            byPeer.put(peer, link);
        } else if (isPreferred(link, kept, peer)) {
            replace(kept, link, peer);
        } else {
            replace(link, kept, peer);
        }
    }

    private boolean isPreferred(Link candidate, Link kept, String peer) {
        int newer = Long.compare(incarnations.get(candidate), incarnations.get(kept));
        if (newer != 0) {
            return newer > 0;
        }
        boolean openedHere = connectors.hasOpened(candidate);
        if (!kept.isOpen() || openedHere == connectors.hasOpened(kept)) {
            return true;
        }
        return openedHere == (host.compareTo(peer) < 0);
    }

    private void replace(Link superfluous, Link kept, String peer) {
        byPeer.put(peer, kept);
        connectors.replace(superfluous, kept);
        superfluous.close();
    }

    void closed(Link link) {
        open.remove(link);
        informed.remove(link);
        incarnations.remove(link);
        String peer = names.remove(link);
        if (peer != null) {
            byPeer.remove(peer, link);
        }
        connectors.closed(link);
    }
}
