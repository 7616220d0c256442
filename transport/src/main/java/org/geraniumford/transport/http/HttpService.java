package org.geraniumford.transport.http;

import org.geraniumford.core.verdict.Reason;

/** Answers HTTP requests. Its methods run on a network thread and must not block. */
public interface HttpService {
    /**
     * Called for each whole request.
     *
     * @param exchange the request, and the way to answer it
     */
    void handle(HttpExchange exchange);

    /**
     * Called for a request that the server could not read whole.
     *
     * @param exchange what is known of the request, and the way to answer it
     * @param reason what was wrong: {@link Reason#MALFORMED_REQUEST}, {@link Reason#BODY_TOO_LARGE} or
     *     {@link Reason#HEADER_TOO_LARGE}
     */
    void rejected(HttpExchange exchange, Reason reason);
}
