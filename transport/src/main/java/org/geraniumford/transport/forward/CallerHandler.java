package org.geraniumford.transport.forward;

/** Answers callers' requests. Called on the network thread. */
@FunctionalInterface
public interface CallerHandler {
    /**
     * Takes a complete request.
     *
     * @param exchange the request and the way to answer it
     */
    void handle(CallerExchange exchange);
}
