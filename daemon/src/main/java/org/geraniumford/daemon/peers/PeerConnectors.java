package org.geraniumford.daemon.peers;

import static java.util.Objects.requireNonNull;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.geraniumford.core.limits.EntryShare;
import org.geraniumford.transport.link.Link;

/** The links that this entry opens to the addresses of other entries, with backoff after failures. */
final class PeerConnectors {
    /** The time from one connection attempt to the next, doubled for each consecutive failure. */
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(300);

    private static final int MAX_BACKOFF_DOUBLINGS = 4;

    /**
     * A peer that was not linked for this long no longer counts as one of the entries that share limits. Long, because
     * an entry that is cut off from its peers must not take their shares.
     */
    private static final Duration PEER_MEMORY = Duration.ofMinutes(10);

    private final InetSocketAddress ownAddress;
    private final Function<InetSocketAddress, CompletableFuture<Void>> connect;
    private final Map<InetSocketAddress, Connector> connectors = new HashMap<>();

    private final double unlistedPosition = Math.random();

    /** Whether the platform's list of entries has been read. */
    private boolean listed;

    private PeerConnectors(InetSocketAddress ownAddress, Function<InetSocketAddress, CompletableFuture<Void>> connect) {
        this.ownAddress = ownAddress;
        this.connect = connect;
    }

    // -- construction

    /**
     * Creates connectors without addresses.
     *
     * @param ownAddress the address of this entry, to which no link is opened
     * @param connect opens a link
     */
    static PeerConnectors empty(
            InetSocketAddress ownAddress, Function<InetSocketAddress, CompletableFuture<Void>> connect) {
        return new PeerConnectors(
                requireNonNull(ownAddress, "ownAddress is null"), requireNonNull(connect, "connect is null"));
    }

    // -- queries

    /**
     * Returns this entry's share of what all entries have together. Entries that were not reached for a long time do
     * not count; how many there are is unknown until the platform's list of entries has been read.
     */
    EntryShare entryShare(int heardPeers, long nowNanos) {
        if (!listed) {
            return EntryShare.of(heardPeers, OptionalInt.empty(), unlistedPosition);
        }
        List<Connector> peers = connectors.values().stream()
                .filter(connector -> connector.isRecent(nowNanos))
                .toList();
        long before = peers.stream().filter(peer -> peer.precedesThisEntry).count();
        int entries = peers.size() + 1;
        return EntryShare.of(heardPeers, OptionalInt.of(entries), (double) before / entries);
    }

    /** Returns how many entries there are, including this one; empty if no list of them was read yet. */
    OptionalInt listedEntries(long nowNanos) {
        if (!listed) {
            return OptionalInt.empty();
        }
        return OptionalInt.of((int) connectors.values().stream()
                        .filter(connector -> connector.isRecent(nowNanos))
                        .count()
                + 1);
    }

    // -- commands

    void add(Collection<InetSocketAddress> addresses) {
        addresses.stream()
                .filter(address -> !address.equals(ownAddress))
                .forEach(address -> connectors.computeIfAbsent(address, Connector::new));
    }

    /** Adds the addresses that the platform lists. */
    void addListed(Collection<InetSocketAddress> addresses) {
        listed = true;
        add(addresses);
    }

    void connectIfDue(long nowNanos) {
        connectors.values().forEach(connector -> connector.connectIfDue(nowNanos));
    }

    /** Returns whether this entry opened the link. */
    boolean hasOpened(Link link) {
        return connectors.keySet().stream().anyMatch(link::isConnectedTo);
    }

    /** Keeps a link in place of another one to the same peer, so that the other one is not opened again. */
    void replace(Link superfluous, Link kept) {
        connectors.values().forEach(connector -> connector.replace(superfluous, kept));
    }

    // -- events

    void opened(Link link) {
        connectors.values().forEach(connector -> connector.attach(link));
    }

    void closed(Link link) {
        connectors.values().forEach(connector -> connector.detach(link));
    }

    /** The link that this entry opens to one address. */
    private final class Connector {
        private final InetSocketAddress address;

        /** Whether the address comes before this entry's own, in an order that is the same at all entries. */
        private final boolean precedesThisEntry;

        private Link link;
        private boolean connecting;
        private int failures;
        private long nextConnectNanos = System.nanoTime();
        private long lastLinkedNanos = System.nanoTime();

        Connector(InetSocketAddress address) {
            this.address = address;
            this.precedesThisEntry = address.toString().compareTo(ownAddress.toString()) < 0;
        }

        /** Returns whether the address was first listed, or its entry linked, less than {@link #PEER_MEMORY} ago. */
        boolean isRecent(long nowNanos) {
            if (isLinked()) {
                lastLinkedNanos = nowNanos;
            }
            return nowNanos - lastLinkedNanos < PEER_MEMORY.toNanos();
        }

        private boolean isLinked() {
            return link != null && link.isOpen();
        }

        void connectIfDue(long nowNanos) {
            if (!isLinked() && !connecting && nowNanos - nextConnectNanos >= 0) {
                openLink();
            }
        }

        private void openLink() {
            connecting = true;
            connect.apply(address).whenComplete((established, failure) -> {
                connecting = false;
                failures = failure == null ? 0 : failures + 1;
                long backoffNanos = INITIAL_BACKOFF.toNanos() << Math.min(failures, MAX_BACKOFF_DOUBLINGS);
                nextConnectNanos = System.nanoTime() + backoffNanos;
            });
        }

        void attach(Link candidate) {
            if (candidate.isConnectedTo(address)) {
                link = candidate;
            }
        }

        void replace(Link superfluous, Link kept) {
            if (superfluous.equals(link)) {
                link = kept;
            }
        }

        void detach(Link ended) {
            if (ended.equals(link)) {
                link = null;
            }
        }
    }
}
