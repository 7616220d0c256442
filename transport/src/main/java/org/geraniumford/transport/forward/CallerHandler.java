package org.geraniumford.transport.forward;

/** Handles callers' requests. Called on the network thread, which must not block. */
@FunctionalInterface
public interface CallerHandler {
    /**
     * Called for each complete request.
     *
     * @param exchange the request and the means to respond to it
     */
    void handle(CallerExchange exchange);

    /**
     * Called instead of {@link #handle} if the caller disconnected before its request was handled.
     *
     * @param exchange the request; released after the call
     */
    default void callerLeft(CallerExchange exchange) {}
}
