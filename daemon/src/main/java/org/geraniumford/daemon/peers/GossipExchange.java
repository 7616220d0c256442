package org.geraniumford.daemon.peers;

import static java.util.Objects.requireNonNull;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.geraniumford.core.configuration.Sha256;
import org.geraniumford.core.fleet.CacheGossip;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.core.wire.Message;
import org.geraniumford.core.wire.Role;
import org.geraniumford.daemon.gateway.GatewayState;
import org.geraniumford.daemon.weights.RolloutController;
import org.geraniumford.transport.link.Link;
import org.geraniumford.transport.link.LinkHandler;
import org.geraniumford.transport.link.LinkIdentity;
import org.geraniumford.transport.link.LinkListener;
import org.geraniumford.transport.link.LinkNetwork;
import org.geraniumford.transport.log.LogEvent;

/**
 * Exchanges load, configuration, named weights and leaving servers with the other entries. What the store told one
 * entry reaches those that the store turns away. Runs on one network thread.
 */
public final class GossipExchange implements LinkHandler {
    /** A peer that was silent for this long has no load and shares no budget. */
    private static final Duration PEER_TIMEOUT = Duration.ofMillis(1500);

    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(300);
    private static final int MAX_DOUBLINGS = 4;
    private static final long MICROS_PER_MILLI = 1000;

    private final String host;
    private final GatewayState state;
    private final ConfigurationRelay configuration;
    private final RolloutController rollout;
    private final LinkNetwork network;
    private final InetSocketAddress ownAddress;
    private final Map<InetSocketAddress, PeerConnector> connectors = new HashMap<>();
    private final Map<Link, String> peerNames = new LinkedHashMap<>();
    private final Map<String, Long> lastSeenNanos = new HashMap<>();
    private long lastRequestId;
    private boolean requestPending;
    private long requestSentNanos;

    private GossipExchange(
            String host,
            GatewayState state,
            ConfigurationRelay configuration,
            RolloutController weights,
            EventLoopGroup group,
            InetSocketAddress own) {
        this.rollout = weights;
        this.host = host;
        this.state = state;
        this.configuration = configuration;
        this.ownAddress = own;
        Message.Hello hello = new Message.Hello(host, Role.ENTRY, state.failureDomain(), "");
        long incarnation = System.currentTimeMillis() * MICROS_PER_MILLI;
        this.network = LinkNetwork.of(group, new LinkIdentity(hello, incarnation, configuration::version));
    }

    // -- construction

    /**
     * Creates the exchange.
     *
     * @param host the name of this host
     * @param state what is told and learned
     * @param configuration the configuration in force
     * @param weights tells and learns of the lease on weights orders
     * @param group the network thread
     * @param own where this entry listens for peers
     * @return an exchange without peers
     */
    public static GossipExchange of(
            String host,
            GatewayState state,
            ConfigurationRelay configuration,
            RolloutController weights,
            EventLoopGroup group,
            InetSocketAddress own) {
        return new GossipExchange(
                requireNonNull(host, "host is null"),
                requireNonNull(state, "state is null"),
                requireNonNull(configuration, "configuration is null"),
                requireNonNull(weights, "weights is null"),
                requireNonNull(group, "group is null"),
                requireNonNull(own, "own is null"));
    }

    // -- commands

    /**
     * Listens for peers.
     *
     * @return the listening socket, or the failure to bind
     */
    public CompletableFuture<LinkListener> listen() {
        return network.listen(ownAddress, this);
    }

    /**
     * Takes addresses of entries, which may be stale.
     *
     * @param addresses where entries listen for peers
     */
    public void addAddresses(Collection<InetSocketAddress> addresses) {
        addresses.stream()
                .filter(address -> !address.equals(ownAddress))
                .forEach(address -> connectors.computeIfAbsent(address, PeerConnector::new));
    }

    /** Tells every peer what is new, and connects to those that are missing. To be called several times a second. */
    public void sendGossip() {
        long now = System.nanoTime();
        Message.Gossip pulse = new Message.Gossip(
                state.directory().localLoads(),
                state.directory().leavingServers(),
                state.weightsGossip(),
                rollout.leaseGossip(),
                new CacheGossip(
                        state.knownSegments().unannounced(), state.directory().unannouncedPrefills()));
        state.knownSegments().markAnnounced();
        state.directory().markAnnounced();
        connectors.values().forEach(dial -> dial.connectIfDue(now));
        oneLinkPerPeer().forEach(link -> link.send(pulse));
        removeSilentPeers(now);
        state.updateAlivePeers(lastSeenNanos.keySet());
    }

    /** Two entries that opened a link to each other use one of the two in each direction. */
    private Collection<Link> oneLinkPerPeer() {
        Map<String, Link> byPeer = new HashMap<>();
        peerNames.forEach((link, peer) -> {
            if (link.isOpen() && !peer.equals(host)) {
                byPeer.put(peer, link);
            }
        });
        return byPeer.values();
    }

    private void removeSilentPeers(long nowNanos) {
        List<String> silent = lastSeenNanos.entrySet().stream()
                .filter(heard -> nowNanos - heard.getValue() > PEER_TIMEOUT.toNanos())
                .map(Map.Entry::getKey)
                .toList();
        silent.forEach(peer -> {
            LogEvent.of("peer_silent").with("peer", peer).info();
            lastSeenNanos.remove(peer);
            state.directory().applyGossip(peer, List.of());
        });
    }

    // -- events

    @Override
    public void opened(Link link) {
        // The peer's name follows with its first message.
    }

    @Override
    public void received(Link link, Envelope envelope) {
        Message message = envelope.message();
        if (message instanceof Message.Hello hello) {
            peerNames.put(link, hello.processId());
            connectors.values().forEach(dial -> dial.attach(link));
            return;
        }
        String peer = peerNames.get(link);
        if (peer == null || peer.equals(host)) {
            link.close();
            return;
        }
        handleMessage(link, peer, envelope);
    }

    private void handleMessage(Link link, String peer, Envelope envelope) {
        Message message = envelope.message();
        if (message instanceof Message.Gossip pulse) {
            applyGossip(peer, pulse);
        } else if (message instanceof Message.ConfigurationRequest request) {
            sendConfiguration(link, request);
        } else if (message instanceof Message.ConfigurationResponse answer) {
            requestPending = false;
            applyConfiguration(answer, peer);
        }
        requestIfNewer(link, envelope.configurationVersion());
    }

    private void applyGossip(String peer, Message.Gossip pulse) {
        if (lastSeenNanos.put(peer, System.nanoTime()) == null) {
            LogEvent.of("peer_heard").with("peer", peer).info();
        }
        state.directory().applyGossip(peer, pulse.loads());
        pulse.leaving().forEach(state.directory()::markLeaving);
        rollout.applyLeaseSnapshot(pulse.lease());
        pulse.weights().forEach(state::recordPublishedWeights);
        state.knownSegments().applyGossip(pulse.cache().savedKeys(), System.nanoTime());
        state.directory().applyGossip(pulse.cache().prefilled());
    }

    private void sendConfiguration(Link link, Message.ConfigurationRequest request) {
        configuration
                .document()
                .filter(text -> configuration.version() > request.newerThan())
                .ifPresent(text -> link.send(new Message.ConfigurationResponse(
                        request.id(), configuration.version(), Sha256.hex(text), text)));
    }

    private void applyConfiguration(Message.ConfigurationResponse answer, String peer) {
        if (answer.digest().equals(Sha256.hex(answer.text()))) {
            configuration.applyDocument(answer.text(), peer);
        } else {
            LogEvent.of("configuration_damaged").with("peer", peer).warn();
        }
    }

    private void requestIfNewer(Link link, long version) {
        long now = System.nanoTime();
        boolean waiting = requestPending && now - requestSentNanos < INITIAL_BACKOFF.toNanos();
        if (version > configuration.version() && !waiting) {
            requestPending = true;
            requestSentNanos = now;
            link.send(new Message.ConfigurationRequest(++lastRequestId, configuration.version()));
        }
    }

    @Override
    public void closed(Link link, boolean broken) {
        peerNames.remove(link);
        connectors.values().forEach(dial -> dial.detach(link));
    }

    /** The own connection to one address. */
    private final class PeerConnector {
        private final InetSocketAddress address;
        private Link link;
        private boolean connecting;
        private int failures;
        private long nextConnectNanos = System.nanoTime();

        PeerConnector(InetSocketAddress address) {
            this.address = address;
        }

        void connectIfDue(long nowNanos) {
            boolean linked = link != null && link.isOpen();
            if (!linked && !connecting && nowNanos - nextConnectNanos >= 0) {
                connect();
            }
        }

        private void connect() {
            connecting = true;
            network.connect(address, GossipExchange.this).whenComplete((done, failure) -> {
                connecting = false;
                failures = failure == null ? 0 : failures + 1;
                long pause = INITIAL_BACKOFF.toNanos() << Math.min(failures, MAX_DOUBLINGS);
                nextConnectNanos = System.nanoTime() + pause;
            });
        }

        void attach(Link candidate) {
            if (candidate.isConnectedTo(address)) {
                link = candidate;
            }
        }

        void detach(Link ended) {
            if (ended.equals(link)) {
                link = null;
            }
        }
    }
}
