package org.geraniumford.daemon.peers;

import static java.util.Objects.requireNonNull;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.geraniumford.core.fleet.AnnouncedLoads;
import org.geraniumford.core.fleet.CacheGossip;
import org.geraniumford.core.fleet.ServerGossip;
import org.geraniumford.core.fleet.ServerLoad;
import org.geraniumford.core.limits.CustomerAccounts.Extent;
import org.geraniumford.core.limits.ServerLimitUse;
import org.geraniumford.core.quarantine.SegmentQuarantine;
import org.geraniumford.core.service.OperatorGossip;
import org.geraniumford.core.weights.LeaseSnapshot;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.core.wire.Message;
import org.geraniumford.core.wire.Role;
import org.geraniumford.daemon.gateway.GatewayState;
import org.geraniumford.daemon.weights.RolloutController;
import org.geraniumford.transport.link.Link;
import org.geraniumford.transport.link.LinkHandler;
import org.geraniumford.transport.link.LinkIdentity;
import org.geraniumford.transport.link.LinkListener;
import org.geraniumford.transport.link.LinkMemory;
import org.geraniumford.transport.link.LinkNetwork;
import org.geraniumford.transport.worker.Guarded;

/**
 * Exchanges load, leaving servers, servers' limits, published weights, the weights lease, cache changes, what servers
 * ended under, and the configuration with the other entries. State that one entry read from the store thus reaches
 * entries whose requests the store rejects. Runs on one network thread.
 */
public final class GossipExchange implements LinkHandler {
    /** The longest time between two messages to a peer. */
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(450);

    /** The interval while limits of customers are in use, whose shares depend on who is heard. */
    private static final Duration LIMITS_HEARTBEAT_INTERVAL = Duration.ofMillis(300);

    /** How often all state is sent to all peers, so that nothing that was missed stays missing. */
    private static final Duration REFRESH_INTERVAL = Duration.ofSeconds(2);

    /** A longer gap between two calls of {@link #sendGossip} counts as a pause of this process. */
    private static final Duration MAX_TICK_GAP = Duration.ofSeconds(1);

    /** Added load is announced after this delay, together with what is added meanwhile. */
    private static final Duration LOAD_GOSSIP_DELAY = Duration.ofMillis(10);

    private static final long MICROS_PER_MILLI = 1000;

    private final GatewayState state;
    private final SegmentQuarantine quarantine;
    private final ConfigurationExchange configurations;
    private final RolloutController rollout;
    private final GossipReceiver receiver;
    private final EventLoop loop;
    private final LinkNetwork network;
    private final InetSocketAddress ownAddress;
    private final PeerConnectors connectors;
    private final PeerLinks links;
    private final AnnouncedLoads announcedLoads = AnnouncedLoads.empty();
    private final HeardPeers heard = HeardPeers.empty();
    private final GossipReport report = GossipReport.startingAt(System.nanoTime());
    private final SentLeases sentLeases = SentLeases.empty();
    private boolean gossipScheduled;

    /** When this entry last sent a message to its peers. */
    private long announcedNanos = System.nanoTime();

    /** When it last sent one that has all its state to all peers. */
    private long refreshedNanos = announcedNanos;

    /** Whether a message was sent since the last call of {@link #sendGossip}. */
    private boolean announcedSinceTick;

    private long lastTickNanos = announcedNanos;

    /** The numbers of peers and links at the last call of {@link #sendGossip}, for other threads. */
    private volatile int heardPeers;

    private volatile int linkCount;

    private GossipExchange(
            String host,
            GatewayState state,
            SegmentQuarantine quarantine,
            ConfigurationRelay configuration,
            RolloutController rollout,
            EventLoop loop,
            Executor delivery,
            InetSocketAddress ownAddress) {
        this.quarantine = quarantine;
        this.rollout = rollout;
        this.receiver = new GossipReceiver(state, quarantine, rollout);
        this.state = state;
        this.configurations = new ConfigurationExchange(configuration);
        this.ownAddress = ownAddress;
        this.loop = loop;
        Message.Hello hello = new Message.Hello(host, Role.ENTRY, state.failureDomain(), "");
        long incarnation = System.currentTimeMillis() * MICROS_PER_MILLI;
        this.network = LinkNetwork.of(loop, new LinkIdentity(hello, incarnation, configuration::version), delivery);
        this.connectors = PeerConnectors.empty(ownAddress, address -> network.connect(address, this));
        this.links = new PeerLinks(host, connectors);
    }

    // -- construction

    /**
     * Creates the exchange.
     *
     * @param host the name of this host
     * @param state the state that is announced to peers and updated by their gossip
     * @param quarantine the suspect prompt segments
     * @param configuration the configuration in force
     * @param rollout the controller that announces and receives the weights lease
     * @param loop the network thread
     * @param delivery delivers peers' messages, on the network thread and in order
     * @param ownAddress the address at which this entry listens for peers
     * @return an exchange without peers
     */
    public static GossipExchange of(
            String host,
            GatewayState state,
            SegmentQuarantine quarantine,
            ConfigurationRelay configuration,
            RolloutController rollout,
            EventLoop loop,
            Executor delivery,
            InetSocketAddress ownAddress) {
        return new GossipExchange(
                requireNonNull(host, "host is null"),
                requireNonNull(state, "state is null"),
                requireNonNull(quarantine, "quarantine is null"),
                requireNonNull(configuration, "configuration is null"),
                requireNonNull(rollout, "rollout is null"),
                requireNonNull(loop, "loop is null"),
                requireNonNull(delivery, "delivery is null"),
                requireNonNull(ownAddress, "ownAddress is null"));
    }

    // -- queries

    /**
     * Returns how many other entries were heard lately.
     *
     * @return the number of peers whose messages arrive
     */
    public int peerCount() {
        return heardPeers;
    }

    /**
     * Returns how many links are open.
     *
     * @return the number of links to peers, superfluous ones included
     */
    public int linkCount() {
        return linkCount;
    }

    /**
     * Returns the account of the bytes that the links to peers hold.
     *
     * @return the account, which changes over time
     */
    public LinkMemory linkMemory() {
        return network.memory();
    }

    // -- commands

    /**
     * Listens for links that peers open.
     *
     * @return the listening socket; completes exceptionally if it cannot be bound
     */
    public CompletableFuture<LinkListener> listen() {
        return network.listen(ownAddress, this);
    }

    /**
     * Adds addresses of entries to connect to; some may be stale.
     *
     * @param addresses the addresses at which entries listen for peers
     */
    public void addAddresses(Collection<InetSocketAddress> addresses) {
        connectors.add(addresses);
    }

    /**
     * Adds addresses of entries that the platform lists; from then on it is known how many entries there are.
     *
     * @param addresses the addresses at which entries listen for peers
     */
    public void addListedAddresses(Collection<InetSocketAddress> addresses) {
        connectors.addListed(addresses);
    }

    /**
     * Announces this entry's load soon. Entries that choose servers by outdated loads all choose the one that was idle.
     * Called on the network thread.
     */
    public void scheduleGossip() {
        if (!gossipScheduled) {
            gossipScheduled = true;
            loop.schedule(Guarded.of("gossip", this::announce), LOAD_GOSSIP_DELAY.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Connects to missing peers, and sends every peer a message if there are changes or none was sent for a while,
     * unless one was sent since the last call. Must be called several times a second.
     */
    public void sendGossip() {
        long nowNanos = System.nanoTime();
        if (nowNanos - lastTickNanos > MAX_TICK_GAP.toNanos()) {
            links.forgetSilence(nowNanos);
        }
        lastTickNanos = nowNanos;
        boolean inUse = state.customerLimits().accounts().isInUse(nowNanos);
        Duration heartbeat = inUse ? LIMITS_HEARTBEAT_INTERVAL : HEARTBEAT_INTERVAL;
        boolean due = nowNanos - announcedNanos >= heartbeat.toNanos() || hasChanges();
        if (due && !announcedSinceTick) {
            announce();
        }
        announcedSinceTick = false;
        links.closeSilent(nowNanos);
        connectors.connectIfDue(nowNanos);
        // The load of a silent peer is dropped.
        heard.removeSilent(nowNanos).forEach(state.directory()::removePeer);
        state.updateAlivePeers(heard.names());
        quarantine.updatePeers(heard.names());
        state.streams().updatePeers(heard.names());
        state.directory().updateEntryShare(connectors.entryShare(heard.count(), nowNanos));
        state.customerLimits().accounts().updateEntries(connectors.listedEntries(nowNanos), nowNanos);
        heardPeers = heard.count();
        linkCount = links.count();
        report.logIfDue(heardPeers, linkCount, network.sentBytes(), nowNanos);
    }

    private boolean hasChanges() {
        return !announcedLoads.changes(state.directory().localLoads()).isEmpty()
                || !state.cacheStores().savedSegments().unannounced().isEmpty()
                || state.customerLimits().accounts().hasChanges();
    }

    /** Sends what has changed to the peers, or all state to those that do not have it and now and then to all. */
    private void announce() {
        gossipScheduled = false;
        announcedSinceTick = true;
        announcedNanos = System.nanoTime();
        boolean refresh = announcedNanos - refreshedNanos >= REFRESH_INTERVAL.toNanos();
        if (refresh) {
            refreshedNanos = announcedNanos;
        }
        List<ServerLoad> loads = state.directory().localLoads();
        List<ServerLimitUse> limits = state.serverLimits().gossip();
        boolean allInformed = links.toPeers().stream().allMatch(links::isInformed);
        GossipMessages messages = GossipMessages.of(
                loads,
                announcedLoads.changes(loads),
                (complete, toldLoads, dueLease) ->
                        gossip(complete, toldLoads, limits, Extent.of(complete, allInformed), dueLease));
        LeaseSnapshot lease = rollout.leaseGossip();
        links.toPeers().forEach(link -> send(link, messages, lease, refresh));
        announcedLoads.record(loads);
        state.cacheStores().savedSegments().markAnnounced();
        state.customerLimits().accounts().markAnnounced();
        state.directory().markAnnounced();
        state.serverSpeeds().markAnnounced();
        state.streams().markAnnounced();
    }

    private void send(Link link, GossipMessages messages, LeaseSnapshot lease, boolean refresh) {
        if (link.isBacklogged()) {
            links.markUninformed(link);
            return;
        }
        boolean complete = refresh || !links.isInformed(link);
        LeaseSnapshot dueLease = sentLeases.isDue(link, lease) ? lease : LeaseSnapshot.empty();
        if (link.send(messages.message(complete, dueLease))) {
            links.markInformed(link);
        }
    }

    private Message.Gossip gossip(
            boolean complete,
            List<ServerLoad> loads,
            List<ServerLimitUse> limits,
            Extent customers,
            LeaseSnapshot lease) {
        return new Message.Gossip(
                new ServerGossip(
                        complete,
                        loads,
                        state.directory().leavingServers(complete),
                        limits,
                        state.streams().gossip(complete),
                        state.serverSpeeds().gossip(complete, announcedNanos)),
                new OperatorGossip(
                        state.configuration().freshness().gossip(configurations.version()), state.weightsGossip()),
                lease,
                new CacheGossip(
                        state.cacheStores().savedSegments().unannounced(),
                        state.directory().unannouncedPrefills()),
                quarantine.gossip(announcedNanos),
                state.customerLimits().accounts().announce(customers, announcedNanos));
    }

    // -- events

    @Override
    public void opened(Link link) {
        // The first message of the peer contains its name.
        links.opened(link);
    }

    @Override
    public void received(Link link, Envelope envelope) {
        Message message = envelope.message();
        if (message instanceof Message.Hello hello) {
            links.named(link, hello.processId(), envelope.incarnation());
            if (!state.customerLimits().accounts().isEmpty()) {
                // An entry that has just started can use little of a limit before it knows what is left.
                scheduleGossip();
            }
        } else {
            links.peer(link).ifPresentOrElse(peer -> handleMessage(link, peer, envelope), link::close);
        }
    }

    private void handleMessage(Link link, String peer, Envelope envelope) {
        Message message = envelope.message();
        if (message instanceof Message.Gossip gossip) {
            applyGossip(peer, envelope.incarnation(), gossip);
        } else if (message instanceof Message.ConfigurationRequest request) {
            configurations.requested(link, request);
        } else if (message instanceof Message.ConfigurationResponse response) {
            configurations.responded(peer, response);
        }
        state.configuration().freshness().recordAnnounced(envelope.configurationVersion());
        configurations.versionHeard(link, envelope.configurationVersion());
    }

    private void applyGossip(String peer, long incarnation, Message.Gossip gossip) {
        heard.recordHeard(peer, System.nanoTime());
        receiver.apply(peer, incarnation, gossip);
    }

    @Override
    public void closed(Link link, boolean broken) {
        sentLeases.remove(link);
        links.closed(link);
    }
}
