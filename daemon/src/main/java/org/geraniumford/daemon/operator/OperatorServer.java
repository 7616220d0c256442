package org.geraniumford.daemon.operator;

import static java.util.Objects.requireNonNull;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import org.geraniumford.transport.http.HttpLimits;
import org.geraniumford.transport.http.HttpServer;

/** The socket at which operators ask one process for its health, metrics and state. */
public final class OperatorServer implements AutoCloseable {
    private static final HttpLimits LIMITS = new HttpLimits(64 * 1024, 16 * 1024, 64);

    private final HttpServer server;

    private OperatorServer(HttpServer server) {
        this.server = server;
    }

    // -- construction

    /**
     * Starts a server.
     *
     * @param group the network threads; closed by their owner
     * @param address where to listen; port 0 takes a free one
     * @param registry the process's metrics
     * @param source the process's state
     * @return the listening server, or the failure to bind
     */
    public static CompletableFuture<OperatorServer> start(
            EventLoopGroup group, InetSocketAddress address, PrometheusMeterRegistry registry, ManagedProcess source) {
        requireNonNull(registry, "registry is null");
        requireNonNull(source, "source is null");
        return HttpServer.start(group, address, LIMITS, new OperatorService(registry, source))
                .thenApply(OperatorServer::new);
    }

    // -- queries

    /**
     * Returns where the server listens.
     *
     * @return the bound address and port
     */
    public InetSocketAddress address() {
        return server.address();
    }

    // -- commands

    /** Stops accepting connections. */
    @Override
    public void close() {
        server.close();
    }
}
