package org.geraniumford.standins.service;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.geraniumford.standins.http.Json;
import org.geraniumford.standins.http.Routes;
import org.geraniumford.standins.http.StandInServer;
import org.geraniumford.transport.http.HttpExchange;

/** A plain service on loopback. One thread runs everything. */
public final class ServiceStandIn implements AutoCloseable {
    private final StandInServer server;
    private final Map<String, Integer> executions = new TreeMap<>();
    private ServiceFaults faults;

    private ServiceStandIn(ServiceOptions options) {
        this.faults = ServiceFaults.none().with(new ServiceFaults(options.delayMillis(), null, null, null, null));
        this.server = StandInServer.of("service");
        server.listen(options.port(), routes());
    }

    // -- construction

    /**
     * Starts a service.
     *
     * @param options its port and speed
     * @return the listening service
     */
    public static ServiceStandIn start(ServiceOptions options) {
        return new ServiceStandIn(options);
    }

    private Routes routes() {
        return Routes.empty()
                .with("GET", "/status/", this::respondStatus)
                .with("POST", "/ballots", (exchange, rest) -> handleCall(exchange))
                .with("POST", "/sends", (exchange, rest) -> handleCall(exchange))
                .with("GET", "/executions", (exchange, rest) -> executions(exchange))
                .with("POST", "/faults", (exchange, rest) -> changeFaults(exchange));
    }

    // -- queries

    /**
     * Returns where the service listens.
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
     * Returns how often each ballot or send ran.
     *
     * @return executions by the body's identifier
     */
    public Map<String, Integer> executions() {
        return server.callOnLoop(() -> Map.copyOf(executions));
    }

    // -- commands

    /**
     * Changes the fault switches, as {@code POST /faults} does.
     *
     * @param change what to change
     */
    public void inject(ServiceFaults change) {
        server.callOnLoop(() -> faults = faults.with(change));
    }

    /** Stops the service at once. */
    @Override
    public void close() {
        server.close();
    }

    // -- requests

    private void respondStatus(HttpExchange exchange, String id) {
        CallBody body = new CallBody(id, executions.getOrDefault(id, 0));
        runAfterDelay(() -> Json.respond(exchange, 200, body));
    }

    private void handleCall(HttpExchange exchange) {
        String id = Json.readBody(exchange, CallBody.class).id();
        if (id == null || id.isEmpty()) {
            throw new IllegalArgumentException("id is missing");
        }
        CallFault fault = faults.next();
        faults = faults.after(fault);
        runAfterDelay(() -> run(exchange, id, fault));
    }

    private void run(HttpExchange exchange, String id, CallFault fault) {
        if (fault.executed()) {
            executions.merge(id, 1, Integer::sum);
        }
        if (!fault.responded()) {
            exchange.abort();
        } else if (fault.isError()) {
            Json.respondError(exchange, 500, "failed");
        } else {
            Json.respond(exchange, 200, new CallBody(id, executions.get(id)));
        }
    }

    private void executions(HttpExchange exchange) {
        Json.respond(exchange, 200, Map.of("executions", executions));
    }

    private void changeFaults(HttpExchange exchange) {
        faults = faults.with(Json.readBody(exchange, ServiceFaults.class));
        Json.respond(exchange, 200, faults);
    }

    private void runAfterDelay(Runnable work) {
        if (faults.delayMillis() == 0) {
            work.run();
        } else {
            server.loop().schedule(work, faults.delayMillis(), TimeUnit.MILLISECONDS);
        }
    }

    /** What is sent and received: a ballot's or a send's identifier, and how often it ran. */
    private record CallBody(String id, int executions) {}
}
