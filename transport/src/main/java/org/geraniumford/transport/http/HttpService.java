package org.geraniumford.transport.http;

import org.geraniumford.core.verdict.Reason;

/** Handles HTTP requests. Its methods run on a network thread and must not block. */
public interface HttpService {
    /**
     * Called for each complete request.
     *
     * @param exchange the request and the means to respond to it
     */
    void handle(HttpExchange exchange);

    /**
     * Called for a request that the server could not read completely.
     *
     * @param exchange the part of the request that was read, and the means to respond to it
     * @param reason the cause: {@link Reason#MALFORMED_REQUEST}, {@link Reason#BODY_TOO_LARGE} or
     *     {@link Reason#HEADER_TOO_LARGE}
     */
    void requestUnreadable(HttpExchange exchange, Reason reason);
}
