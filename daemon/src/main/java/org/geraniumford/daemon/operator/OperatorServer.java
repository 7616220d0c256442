package org.geraniumford.daemon.operator;

import static java.util.Objects.requireNonNull;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import org.geraniumford.transport.http.HttpLimits;
import org.geraniumford.transport.http.HttpServer;

/** The HTTP server through which operators read the health, metrics and status of a process, and drain it. */
public final class OperatorServer implements AutoCloseable {
    /** 64 KiB for a request body, 16 KiB for the header fields, and 64 connections. */
    private static final HttpLimits LIMITS =
            new HttpLimits(64 * 1024, 16 * 1024, 64, HttpLimits.DEFAULT_REQUEST_TIMEOUT);

    private final HttpServer server;

    private OperatorServer(HttpServer server) {
        this.server = server;
    }

    // -- construction

    /**
     * Starts a server.
     *
     * @param group the network threads; the caller shuts them down
     * @param address the address to listen on; port 0 selects a free port
     * @param registry the metrics of the process
     * @param process the process to inspect and drain
     * @return the listening server; the future fails if the address cannot be bound
     */
    public static CompletableFuture<OperatorServer> start(
            EventLoopGroup group, InetSocketAddress address, PrometheusMeterRegistry registry, ManagedProcess process) {
        requireNonNull(registry, "registry is null");
        requireNonNull(process, "process is null");
        return HttpServer.start(group, address, LIMITS, new OperatorService(registry, process))
                .thenApply(OperatorServer::new);
    }

    // -- queries

    /**
     * Returns the address on which the server listens.
     *
     * @return the bound address and port
     */
    public InetSocketAddress address() {
        return server.address();
    }

    // -- commands

    /** Stops accepting connections; open ones stay open. */
    @Override
    public void close() {
        server.close();
    }
}
