package org.geraniumford.daemon.sidecar;

import static java.util.Objects.requireNonNull;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import org.asynchttpclient.AsyncHttpClient;
import org.geraniumford.core.close.Closer;
import org.geraniumford.daemon.configuration.ConfigurationSync;
import org.geraniumford.daemon.membership.HostDirectory;
import org.geraniumford.daemon.operator.ManagedProcess;
import org.geraniumford.daemon.operator.OperatorServer;
import org.geraniumford.daemon.operator.ProcessStatus;
import org.geraniumford.daemon.settings.SidecarSettings;
import org.geraniumford.transport.link.LinkListener;
import org.geraniumford.transport.link.LinkNetwork;
import org.geraniumford.transport.log.LogEvent;
import org.geraniumford.transport.platform.PlatformClient;

/** The process beside one backend server: it alone passes requests on and decides which to refuse. */
public final class SidecarDaemon implements AutoCloseable {
    private final SidecarAssembly assembly;
    private final Closer closer;
    private final LinkListener linkListener;
    private final OperatorServer operatorServer;
    private final CompletableFuture<Void> closed = new CompletableFuture<>();

    private SidecarDaemon(SidecarAssembly parts, Closer closer, LinkListener links, OperatorServer operators) {
        this.assembly = parts;
        this.closer = closer;
        this.linkListener = links;
        this.operatorServer = operators;
    }

    // -- construction

    /**
     * Starts a sidecar. The backend server need not be up yet.
     *
     * @param settings the process's settings
     * @return the listening sidecar, or the failure to listen
     */
    public static CompletableFuture<SidecarDaemon> start(SidecarSettings settings) {
        requireNonNull(settings, "settings is null");
        Closer closer = Closer.empty();
        return assemble(settings, closer).whenComplete((daemon, failure) -> {
            if (failure != null) {
                CompletableFuture.runAsync(closer::close);
            }
        });
    }

    private static CompletableFuture<SidecarDaemon> assemble(SidecarSettings settings, Closer closer) {
        SidecarAssembly parts = new SidecarAssembly(settings, closer);
        PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        SidecarMetrics metrics = SidecarMetrics.of(registry);
        EventLoopGroup group = parts.createEventLoopGroup();
        AsyncHttpClient http = parts.createHttpClient();
        SidecarEventHandler handler = parts.createHandler(group, http, metrics);
        LinkNetwork network =
                LinkNetwork.of(group, parts.linkIdentity(), settings.security().startTls(closer));
        PlatformClient platform = PlatformClient.of(settings.platform(), http);
        ConfigurationSync sync = parts.startConfigurationSync(platform, network);
        HostDirectory hosts = parts.startHostDirectory(platform);
        parts.startOrderController(handler, http, platform, hosts);
        parts.startWorker(handler);
        CompletableFuture<SidecarDaemon> started = new CompletableFuture<>();
        ManagedProcess source = new ManagedSidecar(handler, started);
        return network.listen(
                        settings.linkAddress(),
                        SidecarLinkHandler.of(
                                parts::offer,
                                (link, envelope) ->
                                        sync.handleMessage(link, envelope) || hosts.handleMessage(link, envelope),
                                metrics))
                .thenApply(closer::add)
                .thenCompose(links -> OperatorServer.start(group, settings.operatorAddress(), registry, source)
                        .thenApply(closer::add)
                        .thenApply(operators -> new SidecarDaemon(parts, closer, links, operators)))
                .thenApply(daemon -> {
                    logStart(settings, daemon);
                    started.complete(daemon);
                    return daemon;
                });
    }

    private static void logStart(SidecarSettings settings, SidecarDaemon daemon) {
        LogEvent.of("sidecar_started")
                .with("process", settings.processId())
                .with("link", daemon.linkAddress())
                .with("operator", daemon.operatorAddress())
                .info();
    }

    // -- queries

    /**
     * Returns where the router's other processes connect.
     *
     * @return the bound address and port
     */
    public InetSocketAddress linkAddress() {
        return linkListener.address();
    }

    /**
     * Returns where operators connect.
     *
     * @return the bound address and port
     */
    public InetSocketAddress operatorAddress() {
        return operatorServer.address();
    }

    /**
     * Returns the end of the sidecar.
     *
     * @return done once everything is closed
     */
    public CompletableFuture<Void> closed() {
        return closed.copy();
    }

    // -- commands

    /**
     * Takes no new work, finishes what runs, then closes the sidecar.
     *
     * @return done once everything has finished and the sidecar is closed
     */
    public CompletableFuture<Void> drain() {
        assembly.leave().thenRunAsync(this::close);
        return closed();
    }

    /** Ends the sidecar at once; running requests are cut off. */
    @Override
    public void close() {
        try {
            closer.close();
        } finally {
            closed.complete(null);
        }
    }

    /** What the operator port tells of a sidecar. */
    private record ManagedSidecar(SidecarEventHandler handler, CompletableFuture<SidecarDaemon> daemon)
            implements ManagedProcess {
        @Override
        public boolean isReady() {
            return handler.status().ready();
        }

        @Override
        public ProcessStatus status() {
            return handler.status();
        }

        @Override
        public CompletableFuture<Void> drain() {
            return daemon.thenCompose(SidecarDaemon::drain);
        }
    }
}
