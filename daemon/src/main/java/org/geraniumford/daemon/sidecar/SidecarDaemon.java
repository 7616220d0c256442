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

/**
 * The process in front of one backend server. It decides which requests to refuse, and no other process forwards
 * requests to the server.
 */
public final class SidecarDaemon implements AutoCloseable {
    private final SidecarAssembly assembly;
    private final Closer closer;
    private final LinkListener linkListener;
    private final OperatorServer operatorServer;
    private final CompletableFuture<Void> closed = new CompletableFuture<>();

    private SidecarDaemon(
            SidecarAssembly assembly, Closer closer, LinkListener linkListener, OperatorServer operatorServer) {
        this.assembly = assembly;
        this.closer = closer;
        this.linkListener = linkListener;
        this.operatorServer = operatorServer;
    }

    // -- construction

    /**
     * Starts a sidecar. The backend server need not be up yet.
     *
     * @param settings the process's settings
     * @return completed with the listening sidecar, or with the failure to listen
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
        SidecarAssembly assembly = new SidecarAssembly(settings, closer);
        PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        SidecarMetrics metrics = SidecarMetrics.of(registry);
        EventLoopGroup group = assembly.createEventLoopGroup();
        AsyncHttpClient http = assembly.createHttpClient();
        SidecarEventHandler handler = assembly.createHandler(group, http, metrics);
        LinkNetwork network = LinkNetwork.of(
                group, assembly.linkIdentity(), settings.security().startTls(closer));
        PlatformClient platform = PlatformClient.of(settings.platform(), http);
        ConfigurationSync sync = assembly.startConfigurationSync(platform, network);
        HostDirectory hosts = assembly.startHostDirectory(platform);
        assembly.startOrderController(handler, http, platform, hosts);
        assembly.startWorker(handler);
        CompletableFuture<SidecarDaemon> started = new CompletableFuture<>();
        ManagedProcess process = new ManagedSidecar(handler, started);
        return network.listen(
                        settings.linkAddress(),
                        SidecarLinkHandler.of(
                                assembly::offer,
                                (link, envelope) ->
                                        sync.handleMessage(link, envelope) || hosts.handleMessage(link, envelope),
                                metrics))
                .thenApply(closer::add)
                .thenCompose(linkListener -> OperatorServer.start(group, settings.operatorAddress(), registry, process)
                        .thenApply(closer::add)
                        .thenApply(operatorServer -> new SidecarDaemon(assembly, closer, linkListener, operatorServer)))
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
     * Returns the address that the router's other processes connect to.
     *
     * @return the bound address and port
     */
    public InetSocketAddress linkAddress() {
        return linkListener.address();
    }

    /**
     * Returns the address that operators connect to.
     *
     * @return the bound address and port
     */
    public InetSocketAddress operatorAddress() {
        return operatorServer.address();
    }

    /**
     * Returns a future that completes when the sidecar has closed.
     *
     * @return completed once everything is closed
     */
    public CompletableFuture<Void> closed() {
        return closed.copy();
    }

    // -- commands

    /**
     * Accepts no new work, finishes the waiting and running work, then closes the sidecar.
     *
     * @return completed once all work has finished and the sidecar is closed
     */
    public CompletableFuture<Void> drain() {
        assembly.leave().thenRunAsync(this::close);
        return closed();
    }

    /** Closes the sidecar at once; running requests are aborted. */
    @Override
    public void close() {
        try {
            closer.close();
        } finally {
            closed.complete(null);
        }
    }

    /** Serves the operator port's queries for readiness and status, and its command to drain. */
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
