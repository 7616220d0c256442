package org.geraniumford.standins.platform;

import java.net.InetSocketAddress;
import java.net.URI;
import org.geraniumford.standins.http.StandInServer;

/** The platform on loopback. One thread runs everything. */
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
     * Starts a platform.
     *
     * @param options its limits and times
     * @return the listening platform
     */
    public static PlatformStandIn start(PlatformOptions options) {
        return new PlatformStandIn(options);
    }

    // -- queries

    /**
     * Returns where the platform listens.
     *
     * @return the address on loopback
     */
    public InetSocketAddress address() {
        return server.address();
    }

    /**
     * Returns where the platform listens, as a base address.
     *
     * @return the address without a path
     */
    public URI uri() {
        return server.uri();
    }

    // -- commands

    /**
     * Changes the fault switches, as {@code POST /faults} does.
     *
     * @param change what to change
     */
    public void inject(PlatformFaults change) {
        server.callOnLoop(() -> {
            routes.inject(change);
            return true;
        });
    }

    /** Stops the platform at once; what it held is lost. */
    @Override
    public void close() {
        server.close();
    }
}
