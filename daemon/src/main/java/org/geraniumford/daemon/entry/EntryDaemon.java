package org.geraniumford.daemon.entry;

import static java.util.Objects.requireNonNull;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.geraniumford.core.close.Closer;
import org.geraniumford.core.configuration.ConfigurationHolder;
import org.geraniumford.core.membership.Host;
import org.geraniumford.core.request.RequestMachine;
import org.geraniumford.core.retry.RetryPolicy;
import org.geraniumford.core.routing.HintCache;
import org.geraniumford.core.routing.RoutingCosts;
import org.geraniumford.core.wire.Message;
import org.geraniumford.core.wire.Role;
import org.geraniumford.daemon.operator.ProcessStatus;
import org.geraniumford.daemon.settings.EntrySettings;
import org.geraniumford.transport.http.HttpServer;
import org.geraniumford.transport.link.LinkIdentity;
import org.geraniumford.transport.link.LinkListener;
import org.geraniumford.transport.link.LinkNetwork;
import org.geraniumford.transport.log.LogEvent;

/** An entry process: accepts the requests of callers and routes them to sidecars. */
public final class EntryDaemon implements AutoCloseable {
    private static final int NETWORK_THREADS = 2;
    private static final int MAX_HINTS = 32_768;
    private static final long EVENT_LOOP_SHUTDOWN_SECONDS = 5;
    private static final Duration CONNECT_GRACE_PERIOD = Duration.ofSeconds(2);

    private final EntrySettings settings;
    private final ConfigurationHolder configurations;
    private final EntryDependencies.Factory dependenciesFactory;
    private final Closer closer = Closer.empty();
    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final EntryMetrics metrics = EntryMetrics.of(registry);
    private final ExplainRecords records = ExplainRecords.empty();
    private final PeerTable peers = PeerTable.empty();
    private final InFlightRequests inFlight = InFlightRequests.empty();
    private final CompletableFuture<Void> closed = new CompletableFuture<>();
    private final AtomicBoolean closing = new AtomicBoolean();
    private final long incarnation = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    private final long startedNanos = System.nanoTime();
    private Supplier<List<Host>> hosts = List::of;
    private PeerTargets targets = new PeerTargets(List.of(), List::of);
    private HttpServer callerServer;
    private LinkListener linkListener;

    private EntryDaemon(
            EntrySettings settings, ConfigurationHolder configurations, EntryDependencies.Factory dependenciesFactory) {
        this.settings = settings;
        this.configurations = configurations;
        this.dependenciesFactory = dependenciesFactory;
    }

    // -- construction

    /**
     * Starts an entry.
     *
     * @param settings the entry's settings
     * @return completes with the running entry, or exceptionally if it cannot start
     */
    public static CompletableFuture<EntryDaemon> start(EntrySettings settings) {
        requireNonNull(settings, "settings is null");
        return start(settings, ConfigurationHolder.empty(), EntryDependencies.platformFactory(settings));
    }

    static CompletableFuture<EntryDaemon> start(
            EntrySettings settings, ConfigurationHolder configurations, EntryDependencies.Factory dependenciesFactory) {
        EntryDaemon daemon = new EntryDaemon(settings, configurations, dependenciesFactory);
        return daemon.open().thenApply(done -> daemon).whenComplete((done, failure) -> {
            if (failure != null) {
                daemon.close();
            }
        });
    }

    private CompletableFuture<Void> open() {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(NETWORK_THREADS, NioIoHandler.newFactory());
        closer.add(() -> group.shutdownGracefully(0, EVENT_LOOP_SHUTDOWN_SECONDS, TimeUnit.SECONDS)
                .await(EVENT_LOOP_SHUTDOWN_SECONDS, TimeUnit.SECONDS));
        LinkNetwork network =
                LinkNetwork.of(group, identity(), settings.security().startTls(closer));
        EntryDependencies dependencies = dependenciesFactory.open(configurations, network, incarnation, closer);
        ModelShards shards = closer.add(ModelShards.start(shardDependencies(dependencies), incarnation));
        LinkSidecarClient sidecars = LinkSidecarClient.of(peers, settings.failureDomain());
        EntryLinkHandler linkHandler =
                new EntryLinkHandler(dependencies.controlMessageHandler(), List.of(shards, sidecars));
        hosts = dependencies.hosts();
        targets = new PeerTargets(settings.seeds(), hosts);
        closer.add(PeerPool.start(network, targets, peers, linkHandler));
        CallerHttpHandler callerHandler = new CallerHttpHandler(
                configurations,
                RequestIdGenerator.of(settings.processId(), incarnation),
                shards,
                dependencies.serviceCallerFactory().apply(sidecars),
                dependencies.limiter(),
                metrics,
                inFlight);
        return network.listen(settings.linkAddress(), linkHandler)
                .thenAccept(listener -> linkListener = closer.add(listener))
                .thenCompose(done ->
                        HttpServer.start(group, settings.callerAddress(), settings.callerLimits(), callerHandler))
                .thenAccept(server -> callerServer = closer.add(server))
                .thenRun(this::logStart);
    }

    private ModelShard.ShardDependencies shardDependencies(EntryDependencies dependencies) {
        RoutingCosts costs = RoutingCosts.ofPrefillRate(settings.prefillTokensPerSecond());
        RequestMachine requestMachine =
                RequestMachine.of(settings.routingPolicy(), costs, RetryPolicy.ofDefaults(), dependencies.limits());
        SpecFactory specFactory = new SpecFactory(settings.failureDomain(), settings.blockTokens());
        return new ModelShard.ShardDependencies(
                requestMachine,
                specFactory,
                peers,
                HintCache.ofCapacity(MAX_HINTS),
                dependencies.limiter(),
                metrics,
                records);
    }

    private LinkIdentity identity() {
        Message.Hello hello = new Message.Hello(settings.processId(), Role.ENTRY, settings.failureDomain(), "");
        return new LinkIdentity(hello, incarnation, configurations::version);
    }

    private void logStart() {
        LogEvent.of("entry_started")
                .with("process", settings.processId())
                .with("incarnation", incarnation)
                .with("callers", callerServer.address())
                .with("links", linkListener.address())
                .info();
    }

    // -- queries

    /**
     * Returns the address that callers connect to.
     *
     * @return the bound address and port
     */
    public InetSocketAddress callerAddress() {
        return callerServer.address();
    }

    /**
     * Returns the address that the router's other processes connect to.
     *
     * @return the bound address and port
     */
    public InetSocketAddress linkAddress() {
        return linkListener.address();
    }

    /**
     * Returns whether the entry accepts new requests and can be expected to serve them. Directly after its start, the
     * entry waits for all links, because a request whose prefix is cached at a sidecar that is not connected yet would
     * go to another sidecar and miss that cache.
     *
     * @return true while the entry has a configuration and a connected sidecar and is not draining; in the first 2
     *     seconds after the start, only if every listed sidecar and every seed is connected
     */
    public boolean isReady() {
        return !inFlight.isDraining()
                && configurations.version() > 0
                && (isReadyAfterGracePeriod() || areAllTargetsConnected());
    }

    private boolean isReadyAfterGracePeriod() {
        boolean gracePeriodOver = System.nanoTime() - startedNanos >= CONNECT_GRACE_PERIOD.toNanos();
        return gracePeriodOver && !connectedHosts().isEmpty();
    }

    private boolean areAllTargetsConnected() {
        Set<InetSocketAddress> targetAddresses = targets.get().addresses();
        Set<InetSocketAddress> connected =
                peers.all().stream().map(Peer::address).collect(Collectors.toSet());
        return hosts.get().size() > 0
                && connected.containsAll(targetAddresses)
                && !connectedHosts().isEmpty();
    }

    /**
     * Returns the hosts whose sidecars are connected and have sent their state. Hosts that are down, suspect or leaving
     * are included, although they get no new requests.
     *
     * @return the host names, in no particular order
     */
    public Set<String> connectedHosts() {
        return peers.all().stream()
                .filter(this::hasReportedState)
                .map(Peer::host)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns whether a peer is a sidecar that has sent its state. The engine of a model engine's sidecar must also be
     * among the table's connected engines, which lag behind the peers for a moment.
     */
    private boolean hasReportedState(Peer peer) {
        return peer.state()
                .filter(state -> !state.service().isEmpty()
                        || peers.connectedEngines().find(peer.host()).isPresent())
                .isPresent();
    }

    /**
     * Returns the entry's metrics.
     *
     * @return the registry of the entry's meters
     */
    public PrometheusMeterRegistry registry() {
        return registry;
    }

    /**
     * Returns the state of the entry and of the processes that it is connected to.
     *
     * @return the state at the time of the call
     */
    public ProcessStatus status() {
        // An entry has no queue and no backend server, so no request is waiting and the backend's incarnation is 0.
        return new ProcessStatus(
                settings.processId(),
                Role.ENTRY.name().toLowerCase(Locale.ROOT),
                settings.failureDomain(),
                incarnation,
                isReady(),
                inFlight.isDraining(),
                configurations.version(),
                inFlight.count(),
                0,
                0,
                peers.all().stream().map(Peer::status).toList());
    }

    /**
     * Returns the routing decisions and outcomes of the latest requests.
     *
     * @return the live records, not a copy
     */
    public ExplainRecords records() {
        return records;
    }

    /**
     * Returns a future for the end of the entry.
     *
     * @return completes once everything is closed
     */
    public CompletableFuture<Void> closed() {
        return closed.copy();
    }

    // -- commands

    /**
     * Refuses new requests, waits until the requests in flight have ended, then closes the entry.
     *
     * @return completes once everything is closed
     */
    public CompletableFuture<Void> drain() {
        LogEvent.of("entry_draining").with("requests", inFlight.count()).info();
        return inFlight.drain().thenRunAsync(this::close).thenCompose(done -> closed());
    }

    /** Closes the entry at once and aborts requests in flight. Use {@link #drain} to let them finish. */
    @Override
    public void close() {
        if (closing.compareAndSet(false, true)) {
            closer.close();
            closed.complete(null);
            LogEvent.of("entry_closed").with("process", settings.processId()).info();
        }
    }
}
