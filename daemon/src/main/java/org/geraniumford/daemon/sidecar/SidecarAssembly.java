package org.geraniumford.daemon.sidecar;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.asynchttpclient.AsyncHttpClient;
import org.geraniumford.core.admission.AdmissionLimits;
import org.geraniumford.core.admission.AdmissionQueue;
import org.geraniumford.core.admission.EngineCostModel;
import org.geraniumford.core.cache.CacheIndex;
import org.geraniumford.core.cache.GapPolicy;
import org.geraniumford.core.close.Closer;
import org.geraniumford.core.configuration.ConfigurationHolder;
import org.geraniumford.core.membership.HostState;
import org.geraniumford.core.tokens.AttemptTokenRegistry;
import org.geraniumford.core.wire.Message;
import org.geraniumford.core.wire.Role;
import org.geraniumford.daemon.configuration.ConfigurationSync;
import org.geraniumford.daemon.membership.HostDirectory;
import org.geraniumford.daemon.settings.SidecarSettings;
import org.geraniumford.transport.engine.BackendHttpClients;
import org.geraniumford.transport.engine.Engine;
import org.geraniumford.transport.engine.EngineClient;
import org.geraniumford.transport.engine.PortCheck;
import org.geraniumford.transport.engine.ServiceClient;
import org.geraniumford.transport.link.LinkIdentity;
import org.geraniumford.transport.link.LinkNetwork;
import org.geraniumford.transport.platform.PlatformClient;
import org.geraniumford.transport.worker.Worker;

/** Creates the components of one sidecar, which send events to its worker thread through one ring. */
final class SidecarAssembly {
    private static final int NETWORK_THREADS = 2;
    private static final int CLIENT_THREADS = 1;
    private static final int RING_EVENTS = 8192;
    private static final int MAX_ATTEMPT_TOKENS = 100_000;
    private static final Duration TICK = Duration.ofMillis(10);
    private static final Duration MAX_CLOCK_SKEW = Duration.ofSeconds(1);

    private final SidecarSettings settings;
    private final Closer closer;
    private final AtomicReference<Worker<SidecarEvent>> worker = new AtomicReference<>();
    private final long incarnation = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    private final ConfigurationHolder configuration = ConfigurationHolder.empty();
    private final SidecarIdentity identity;

    SidecarAssembly(SidecarSettings settings, Closer closer) {
        this.settings = settings;
        this.closer = closer;
        this.identity = new SidecarIdentity(
                settings.processId(),
                settings.failureDomain(),
                settings.service(),
                incarnation,
                configuration::version);
    }

    // -- commands

    EventLoopGroup createEventLoopGroup() {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(
                NETWORK_THREADS, new DefaultThreadFactory("sidecar-network", true), NioIoHandler.newFactory());
        AutoCloseable stop =
                () -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        closer.add(stop);
        return group;
    }

    /** Creates the HTTP client for both the backend server and the platform. */
    AsyncHttpClient createHttpClient() {
        return closer.add(BackendHttpClients.create(CLIENT_THREADS));
    }

    /** Creates the event handler. The ring accepts events only after {@link #startWorker} was called. */
    SidecarEventHandler createHandler(EventLoopGroup group, AsyncHttpClient http, SidecarMetrics metrics) {
        Engine engine = createEngine(http);
        ServiceClient service = ServiceClient.of(settings.backend(), http);
        CacheIndex index = CacheIndex.of(GapPolicy.VOID_AFFECTED);
        AdmissionQueue queue = AdmissionQueue.of(AdmissionLimits.ofDefaults(), EngineCostModel.initial());
        AttemptTokenRegistry tokenRegistry =
                AttemptTokenRegistry.start(incarnation, MAX_CLOCK_SKEW, MAX_ATTEMPT_TOKENS);
        return SidecarEventHandler.of(
                identity,
                ModelRequests.of(engine, this::offer, index, queue, metrics, System::nanoTime),
                PlainServiceCalls.of(service::forward, tokenRegistry, this::offer, metrics),
                createMonitor(group, engine, index),
                metrics,
                System::nanoTime);
    }

    private BackendMonitor createMonitor(EventLoopGroup group, Engine engine, CacheIndex index) {
        return settings.service().isEmpty()
                ? EngineMonitor.of(engine, index, this::offer, System.nanoTime())
                : ServiceMonitor.of(
                        () -> PortCheck.accepts(group, settings.backend()),
                        new BackendState(settings.service(), "", "", incarnation, false),
                        this::offer,
                        System.nanoTime());
    }

    void startWorker(SidecarEventHandler handler) {
        worker.set(closer.add(Worker.start("sidecar", RING_EVENTS, TICK, handler)));
    }

    /** Starts to keep the configuration up to date. */
    ConfigurationSync startConfigurationSync(PlatformClient platform, LinkNetwork network) {
        return closer.add(ConfigurationSync.start(configuration, platform, network, settings.seeds(), incarnation));
    }

    /**
     * Starts to poll the platform's host list. After each change, the event handler receives whether the list marks
     * this host as leaving.
     */
    HostDirectory startHostDirectory(PlatformClient platform) {
        HostDirectory hosts = closer.add(HostDirectory.start(platform, incarnation));
        hosts.onChange(() ->
                EventRings.offerUntilAccepted(this::offer, new SidecarEvent.HostListChanged(isListedLeaving(hosts))));
        return hosts;
    }

    /** Starts the controller that loads the configured model version; does nothing for a plain service. */
    void startOrderController(
            SidecarEventHandler handler, AsyncHttpClient http, PlatformClient platform, HostDirectory hosts) {
        if (settings.service().isEmpty()) {
            handler.setOrderController(closer.add(OrderController.start(
                    identity, createEngine(http), platform, configuration::current, hosts::hosts, this::offer)));
        }
    }

    private Engine createEngine(AsyncHttpClient http) {
        return EngineClient.of(settings.backend(), http);
    }

    private boolean isListedLeaving(HostDirectory hosts) {
        return hosts.hosts().stream()
                .filter(host -> host.name().equals(settings.processId()))
                .anyMatch(host -> host.state() == HostState.LEAVING);
    }

    /**
     * Makes the sidecar accept no new work. The future completes once all waiting and running work has finished and its
     * responses are sent.
     */
    CompletableFuture<Void> leave() {
        CompletableFuture<Void> finished = new CompletableFuture<>();
        EventRings.offerUntilAccepted(this::offer, new SidecarEvent.Leave(finished));
        return finished;
    }

    /** Offers an event to the worker; returns false if its ring is full or the worker is not started. */
    boolean offer(SidecarEvent event) {
        Worker<SidecarEvent> startedWorker = worker.get();
        return startedWorker != null && startedWorker.offer(event);
    }

    // -- queries

    private Message.Hello hello() {
        String backend = settings.service().isEmpty() ? settings.processId() : settings.service();
        return new Message.Hello(settings.processId(), Role.SIDECAR, settings.failureDomain(), backend);
    }

    LinkIdentity linkIdentity() {
        return new LinkIdentity(hello(), incarnation, configuration::version);
    }
}
