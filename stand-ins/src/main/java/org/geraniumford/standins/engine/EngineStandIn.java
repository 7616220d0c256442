package org.geraniumford.standins.engine;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Map;
import org.geraniumford.standins.http.StandInServer;

/** A model engine on loopback. One thread runs everything. */
public final class EngineStandIn implements AutoCloseable {
    private final StandInServer server;
    private final Engine engine;
    private final EngineRoutes routes;

    private EngineStandIn(EngineOptions options) {
        server = StandInServer.of("engine");
        engine = new Engine(server.loop(), options);
        routes = new EngineRoutes(server.loop(), engine, server::dropConnections);
        server.listen(options.port(), routes.service());
    }

    // -- construction

    /**
     * Starts an engine.
     *
     * @param options its model, sizes and times
     * @return the listening engine
     */
    public static EngineStandIn start(EngineOptions options) {
        return new EngineStandIn(options);
    }

    // -- queries

    /**
     * Returns where the engine listens.
     *
     * @return the address on loopback
     */
    public InetSocketAddress address() {
        return server.address();
    }

    /**
     * Returns where the server listens, as a base address.
     *
     * @return the address without a path
     */
    public URI uri() {
        return server.uri();
    }

    /**
     * Returns the engine's state, as {@code GET /state} does.
     *
     * @return the state
     */
    public EngineState state() {
        return server.callOnLoop(engine::state);
    }

    /**
     * Returns how often each request ran.
     *
     * @return executions by request identifier
     */
    public Map<String, Integer> executions() {
        return server.callOnLoop(engine::executions);
    }

    // -- commands

    /**
     * Changes the fault switches, as {@code POST /faults} does.
     *
     * @param faults what to change
     */
    public void inject(EngineFaults faults) {
        server.callOnLoop(() -> {
            routes.inject(faults);
            return true;
        });
    }

    /** Stops the engine at once. */
    @Override
    public void close() {
        server.close();
    }
}
