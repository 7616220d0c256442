package org.geraniumford.daemon.gateway;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import org.geraniumford.core.fleet.BackendServer;

/**
 * Describes how a request is sent to a backend server.
 *
 * @param server the server; a different server at the same address must not run the request
 * @param timeLeft how much longer the caller waits
 * @param customer the name of the customer; empty if the request has no valid API key and needs none
 * @param priority the priority; 0 is served first
 * @param engine the instructions for a model engine; empty for a plain service
 * @param lastEventId the id of the last event delivered of a stream that is resumed; empty otherwise
 */
public record Dispatch(
        BackendServer server,
        Duration timeLeft,
        Optional<String> customer,
        int priority,
        Optional<EngineDispatch> engine,
        Optional<String> lastEventId) {
    /** Checks the components. */
    public Dispatch {
        requireNonNull(server, "server is null");
        requireNonNull(timeLeft, "timeLeft is null");
        requireNonNull(customer, "customer is null");
        requireNonNull(engine, "engine is null");
        requireNonNull(lastEventId, "lastEventId is null");
    }

    // -- combinators

    /**
     * Returns a copy of this dispatch with another remaining time.
     *
     * @param timeLeft how much longer the caller waits
     * @return a new dispatch
     */
    public Dispatch withTimeLeft(Duration timeLeft) {
        return new Dispatch(server, timeLeft, customer, priority, engine, lastEventId);
    }
}
