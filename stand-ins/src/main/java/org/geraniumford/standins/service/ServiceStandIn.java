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

/** A stand-in for a plain service on loopback. One thread runs all its work. */
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
     * Starts a service stand-in.
     *
     * @param options the port and the delay of the service
     * @return the listening service
     * @throws java.util.concurrent.CompletionException if the port cannot be bound
     */
    public static ServiceStandIn start(ServiceOptions options) {
        return new ServiceStandIn(options);
    }

    private Routes routes() {
        return Routes.empty()
                .with("GET", "/status/", this::respondStatus)
                .with("POST", "/ballots", (exchange, pathSuffix) -> handleCall(exchange))
                .with("POST", "/sends", (exchange, pathSuffix) -> handleCall(exchange))
                .with("GET", "/executions", (exchange, pathSuffix) -> respondExecutions(exchange))
                .with("POST", "/faults", (exchange, pathSuffix) -> changeFaults(exchange));
    }

    // -- queries

    /**
     * Returns the address that the service listens on.
     *
     * @return the address on loopback
     */
    public InetSocketAddress address() {
        return server.address();
    }

    /**
     * Returns the base URI of the service.
     *
     * @return the URI without a path
     */
    public URI uri() {
        return server.uri();
    }

    /**
     * Returns how often each ballot or send was executed.
     *
     * @return the number of executions by the identifier in the body
     */
    public Map<String, Integer> executions() {
        return server.callOnLoop(() -> Map.copyOf(executions));
    }

    // -- commands

    /**
     * Changes the injected faults, as {@code POST /faults} does.
     *
     * @param change the change; null components leave their fault unchanged
     */
    public void inject(ServiceFaults change) {
        server.callOnLoop(() -> faults = faults.with(change));
    }

    /** Stops the service without waiting for running calls. */
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

    /** Counts the execution of a call and responds to it, as far as its fault allows. */
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

    private void respondExecutions(HttpExchange exchange) {
        Json.respond(exchange, 200, Map.of("executions", executions));
    }

    private void changeFaults(HttpExchange exchange) {
        faults = faults.with(Json.readBody(exchange, ServiceFaults.class));
        Json.respond(exchange, 200, faults);
    }

    private void runAfterDelay(Runnable task) {
        if (faults.delayMillis() == 0) {
            task.run();
        } else {
            server.loop().schedule(task, faults.delayMillis(), TimeUnit.MILLISECONDS);
        }
    }

    /** The body of a call and of its response: the identifier of a ballot or send, and the number of its executions. */
    private record CallBody(String id, int executions) {}
}
