package org.geraniumford.standins.engine;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Map;
import org.geraniumford.standins.http.StandInServer;

/** A stand-in for a model engine on loopback. One thread runs all its work. */
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
     * Starts an engine stand-in.
     *
     * @param options the model, limits and timing of the engine
     * @return the listening engine
     * @throws java.util.concurrent.CompletionException if the port cannot be bound
     */
    public static EngineStandIn start(EngineOptions options) {
        return new EngineStandIn(options);
    }

    // -- queries

    /**
     * Returns the address that the engine listens on.
     *
     * @return the address on loopback
     */
    public InetSocketAddress address() {
        return server.address();
    }

    /**
     * Returns the base URI of the engine.
     *
     * @return the URI without a path
     */
    public URI uri() {
        return server.uri();
    }

    /**
     * Returns the state of the engine, as {@code GET /state} does.
     *
     * @return the state
     */
    public EngineState state() {
        return server.callOnLoop(engine::state);
    }

    /**
     * Returns how often each request was executed.
     *
     * @return the number of executions by request identifier; the oldest of more than 100,000 requests are dropped
     */
    public Map<String, Integer> executions() {
        return server.callOnLoop(engine::executions);
    }

    // -- commands

    /**
     * Changes the injected faults, as {@code POST /faults} does.
     *
     * @param faults the change; null components leave their fault unchanged
     */
    public void inject(EngineFaults faults) {
        server.callOnLoop(() -> {
            routes.inject(faults);
            return true;
        });
    }

    /** Stops the engine without waiting for running requests. */
    @Override
    public void close() {
        server.close();
    }
}
