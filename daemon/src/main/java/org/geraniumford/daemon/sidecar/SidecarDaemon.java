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
import org.geraniumford.daemon.operator.OperatorServer;
import org.geraniumford.daemon.operator.OperatorSource;
import org.geraniumford.daemon.operator.ProcessStatus;
import org.geraniumford.daemon.settings.SidecarSettings;
import org.geraniumford.transport.link.LinkListener;
import org.geraniumford.transport.link.LinkNetwork;
import org.geraniumford.transport.log.LogEvent;
import org.geraniumford.transport.platform.PlatformClient;

/** The process beside one backend server: it alone passes requests on and decides which to refuse. */
public final class SidecarDaemon implements AutoCloseable {
    private final SidecarAssembly parts;
    private final Closer closer;
    private final LinkListener links;
    private final OperatorServer operators;
    private final CompletableFuture<Void> closed = new CompletableFuture<>();

    private SidecarDaemon(SidecarAssembly parts, Closer closer, LinkListener links, OperatorServer operators) {
        this.parts = parts;
        this.closer = closer;
        this.links = links;
        this.operators = operators;
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
        EventLoopGroup group = parts.network();
        AsyncHttpClient http = parts.http();
        SidecarDuty handler = parts.handler(group, http, metrics);
        LinkNetwork network =
                LinkNetwork.of(group, parts.linkIdentity(), settings.security().open(closer));
        PlatformClient platform = PlatformClient.of(settings.platform(), http);
        ConfigurationSync sync = parts.follow(platform, network);
        HostDirectory hosts = parts.followHostList(platform);
        parts.keepOrders(handler, http, platform, hosts);
        parts.run(handler);
        CompletableFuture<SidecarDaemon> started = new CompletableFuture<>();
        OperatorSource source = new Source(handler, started);
        return network.listen(
                        settings.linkAddress(),
                        SidecarLinks.of(
                                parts::offer,
                                (link, envelope) -> sync.received(link, envelope) || hosts.received(link, envelope),
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
        return links.address();
    }

    /**
     * Returns where operators connect.
     *
     * @return the bound address and port
     */
    public InetSocketAddress operatorAddress() {
        return operators.address();
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
        parts.leave().thenRunAsync(this::close);
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
    private record Source(SidecarDuty duty, CompletableFuture<SidecarDaemon> daemon) implements OperatorSource {
        @Override
        public boolean ready() {
            return duty.status().ready();
        }

        @Override
        public ProcessStatus status() {
            return duty.status();
        }

        @Override
        public CompletableFuture<Void> drain() {
            return daemon.thenCompose(SidecarDaemon::drain);
        }
    }
}
