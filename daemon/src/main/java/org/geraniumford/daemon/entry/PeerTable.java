package org.geraniumford.daemon.entry;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import org.geraniumford.core.routing.Backend;
import org.geraniumford.core.routing.Fleet;
import org.geraniumford.transport.link.Link;

/**
 * The processes that an entry is connected to, by host. Of two of one name the later incarnation counts. Thread-safe.
 */
final class PeerTable {
    private static final long MIN_REBUILD_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

    private final ConcurrentMap<String, Peer> peers = new ConcurrentHashMap<>();
    private volatile Set<InetSocketAddress> replaceLeaving = Set.of();
    private volatile Fleet fleet = Fleet.empty();
    private volatile boolean stale;
    private volatile long builtNanos;

    private PeerTable() {}

    // -- construction

    static PeerTable empty() {
        return new PeerTable();
    }

    // -- queries

    Optional<Peer> find(String host) {
        return Optional.ofNullable(peers.get(host));
    }

    Collection<Peer> all() {
        return List.copyOf(peers.values());
    }

    /** Returns the model engines. What changed only in waiting times may be missing for up to 2 ms. */
    Fleet fleet() {
        if (stale && System.nanoTime() - builtNanos >= MIN_REBUILD_INTERVAL_NANOS) {
            rebuild();
        }
        return fleet;
    }

    /** Lists the hosts of a plain service that take calls, those of a failure domain first, then by waiting time. */
    List<Peer> serving(String service, String failureDomain) {
        return peers.values().stream()
                .filter(peer -> peer.serves(service) && isAvailable(peer))
                .sorted(Comparator.comparing(
                                (Peer peer) -> !peer.hello().failureDomain().equals(failureDomain))
                        .thenComparingLong(Peer::estimatedWaitMicros)
                        .thenComparing(Peer::host))
                .toList();
    }

    private boolean isAvailable(Peer peer) {
        boolean stays = peer.state().filter(state -> !state.leaving()).isPresent();
        return stays && !peer.suspect() && !replaceLeaving.contains(peer.address());
    }

    // -- commands

    /** Adds a peer; returns false if a later incarnation of the same host is connected. */
    boolean add(Peer peer) {
        Peer kept = peers.merge(
                peer.host(), peer, (held, added) -> added.incarnation() >= held.incarnation() ? added : held);
        rebuild();
        return kept.link() == peer.link();
    }

    /** Changes the peer of a connection; does nothing if the host has another connection by now. */
    void update(String host, Link link, UnaryOperator<Peer> change) {
        Peer before = peers.get(host);
        Peer after = peers.computeIfPresent(host, (key, peer) -> peer.link() == link ? change.apply(peer) : peer);
        if (after != null && !differOnlyInWait(before, after)) {
            rebuild();
        } else {
            stale = true;
        }
    }

    /** Removes the peer of a connection. */
    void remove(String host, Link link) {
        peers.computeIfPresent(host, (key, peer) -> peer.link() == link ? null : peer);
        rebuild();
    }

    /** Gives a host no new work until it is heard again. */
    void markSuspect(String host) {
        peers.computeIfPresent(host, (key, peer) -> peer.suspect(true));
        rebuild();
    }

    /** Replaces the addresses of the hosts that the platform lists as leaving. */
    void replaceLeaving(Set<InetSocketAddress> addresses) {
        if (!replaceLeaving.equals(addresses)) {
            replaceLeaving = Set.copyOf(addresses);
            rebuild();
        }
    }

    private synchronized void rebuild() {
        stale = false;
        builtNanos = System.nanoTime();
        List<Backend> backends = peers.values().stream()
                .flatMap(peer -> peer.backend(replaceLeaving.contains(peer.address())).stream())
                .toList();
        fleet = Fleet.ofAll(backends);
    }

    /** Says whether two states of a peer differ in nothing but the waiting time. */
    private static boolean differOnlyInWait(Peer before, Peer after) {
        return before != null && routingAttributes(before).equals(routingAttributes(after));
    }

    private static Map<String, Object> routingAttributes(Peer peer) {
        return peer.backend(false).stream()
                .collect(Collectors.toMap(
                        Backend::host,
                        backend -> List.of(
                                backend.modelVersion(),
                                backend.weightsDigest(),
                                backend.incarnation(),
                                backend.leaving())));
    }
}
