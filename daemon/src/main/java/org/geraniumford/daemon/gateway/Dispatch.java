package org.geraniumford.daemon.gateway;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import org.geraniumford.core.fleet.BackendServer;

/**
 * How a request is sent to a backend server.
 *
 * @param server the server; another one at its address must not run the request
 * @param timeLeft how long the caller waits from now on
 * @param customer the customer's name; empty on a route that needs no key
 * @param priority the rank, 0 first
 * @param engine what a model engine is told; empty for a plain call
 * @param lastEventId the last event delivered of a stream that goes on; empty for a first try
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
        requireNonNull(lastEventId, "resumeAfter is null");
    }

    // -- combinators

    /**
     * Returns this dispatch with another time.
     *
     * @param left how long the caller waits from now on
     * @return a new dispatch
     */
    public Dispatch withTimeLeft(Duration left) {
        return new Dispatch(server, left, customer, priority, engine, lastEventId);
    }
}
