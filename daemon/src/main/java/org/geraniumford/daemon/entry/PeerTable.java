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
import org.geraniumford.core.routing.ConnectedEngine;
import org.geraniumford.core.routing.ConnectedEngines;
import org.geraniumford.transport.link.Link;

/**
 * The processes that an entry is connected to, by the name of their host. If two processes have the same host name, the
 * one with the later incarnation is kept. Thread-safe.
 */
final class PeerTable {
    private static final long MIN_REBUILD_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

    private final ConcurrentMap<String, Peer> peers = new ConcurrentHashMap<>();
    private volatile Set<InetSocketAddress> leavingAddresses = Set.of();
    private volatile ConnectedEngines connectedEngines = ConnectedEngines.empty();
    /** Whether an estimated wait may have changed since {@link #connectedEngines} was built. */
    private volatile boolean stale;

    /** When {@link #connectedEngines} was built, as of {@link System#nanoTime}. */
    private volatile long builtNanos;

    private PeerTable() {}

    // -- construction

    static PeerTable empty() {
        return new PeerTable();
    }

    // -- queries

    /** Returns the peer of a host; empty if the host is not connected. */
    Optional<Peer> find(String host) {
        return Optional.ofNullable(peers.get(host));
    }

    /** Returns a copy of all connected peers. */
    Collection<Peer> all() {
        return List.copyOf(peers.values());
    }

    /** Returns the connected model engines. A change of only an estimated wait may take up to 2 ms to be included. */
    ConnectedEngines connectedEngines() {
        if (stale && System.nanoTime() - builtNanos >= MIN_REBUILD_INTERVAL_NANOS) {
            rebuild();
        }
        return connectedEngines;
    }

    /**
     * Returns the sidecars of a plain service that are neither leaving nor suspect: those in the failure domain first,
     * each group by estimated wait, the shortest first.
     */
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
        boolean notLeaving = peer.state().filter(state -> !state.leaving()).isPresent();
        return notLeaving && !peer.suspect() && !leavingAddresses.contains(peer.address());
    }

    // -- commands

    /** Adds a peer. Returns false if a later incarnation of the same host is connected. */
    boolean add(Peer peer) {
        Peer current = peers.merge(
                peer.host(),
                peer,
                (existing, added) -> added.incarnation() >= existing.incarnation() ? added : existing);
        rebuild();
        return current.link() == peer.link();
    }

    /** Changes the peer of a link. Does nothing if the host has another link by now. */
    void update(String host, Link link, UnaryOperator<Peer> change) {
        Peer previous = peers.get(host);
        Peer updated = peers.computeIfPresent(host, (key, peer) -> peer.link() == link ? change.apply(peer) : peer);
        if (updated != null && !differOnlyInWait(previous, updated)) {
            rebuild();
        } else {
            stale = true;
        }
    }

    /** Removes the peer of a link. Does nothing if the host has another link by now. */
    void remove(String host, Link link) {
        peers.computeIfPresent(host, (key, peer) -> peer.link() == link ? null : peer);
        rebuild();
    }

    /** Marks a host as suspect, so that it gets no new work until it sends a message. */
    void markSuspect(String host) {
        peers.computeIfPresent(host, (key, peer) -> peer.withSuspect(true));
        rebuild();
    }

    /** Replaces the addresses of the hosts that the platform lists as leaving. */
    void replaceLeaving(Set<InetSocketAddress> addresses) {
        if (!leavingAddresses.equals(addresses)) {
            leavingAddresses = Set.copyOf(addresses);
            rebuild();
        }
    }

    private synchronized void rebuild() {
        stale = false;
        builtNanos = System.nanoTime();
        List<ConnectedEngine> engines = peers.values().stream()
                .flatMap(peer -> peer.connectedEngine(leavingAddresses.contains(peer.address())).stream())
                .toList();
        connectedEngines = ConnectedEngines.ofAll(engines);
    }

    /** Returns whether the engine of a peer is unchanged except for its estimated wait. */
    private static boolean differOnlyInWait(Peer previous, Peer updated) {
        return previous != null && routingAttributes(previous).equals(routingAttributes(updated));
    }

    /**
     * Returns the attributes of a peer's engine that may change, without its estimated wait; empty without an engine.
     */
    private static Map<String, Object> routingAttributes(Peer peer) {
        return peer.connectedEngine(false).stream()
                .collect(Collectors.toMap(
                        ConnectedEngine::host,
                        engine -> List.of(
                                engine.modelVersion(),
                                engine.weightsDigest(),
                                engine.incarnation(),
                                engine.leaving())));
    }
}
