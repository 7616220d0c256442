package org.geraniumford.standins.platform;

import java.net.InetSocketAddress;
import java.net.URI;
import org.geraniumford.standins.http.StandInServer;

/** A stand-in for the platform (tables, objects, weights and host list) on loopback. One thread runs all its work. */
public final class PlatformStandIn implements AutoCloseable {
    private final StandInServer server;
    private final PlatformRoutes routes;

    private PlatformStandIn(PlatformOptions options) {
        server = StandInServer.of("platform");
        routes = new PlatformRoutes(server.loop(), options);
        server.listen(options.port(), routes.routes());
    }

    // -- construction

    /**
     * Starts a platform stand-in.
     *
     * @param options the port, limits and delays of the platform
     * @return the listening platform
     * @throws java.util.concurrent.CompletionException if the port cannot be bound
     */
    public static PlatformStandIn start(PlatformOptions options) {
        return new PlatformStandIn(options);
    }

    // -- queries

    /**
     * Returns the address that the platform listens on.
     *
     * @return the address on loopback
     */
    public InetSocketAddress address() {
        return server.address();
    }

    /**
     * Returns the base URI of the platform.
     *
     * @return the URI without a path
     */
    public URI uri() {
        return server.uri();
    }

    // -- commands

    /**
     * Changes the injected faults, as {@code POST /faults} does.
     *
     * @param change the change; null components leave their fault unchanged
     */
    public void inject(PlatformFaults change) {
        server.callOnLoop(() -> {
            routes.inject(change);
            return true;
        });
    }

    /** Stops the platform without waiting for running requests. Its tables, objects and hosts are lost. */
    @Override
    public void close() {
        server.close();
    }
}
