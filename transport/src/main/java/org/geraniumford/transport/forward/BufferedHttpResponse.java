package org.geraniumford.transport.forward;

import static java.util.Objects.requireNonNull;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete response to one of the router's own HTTP calls.
 *
 * @param status the HTTP status
 * @param headers the header fields
 * @param body the bytes of the body; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record BufferedHttpResponse(int status, HttpHeaders headers, byte[] body) {
    /** Checks the components. */
    public BufferedHttpResponse {
        requireNonNull(headers, "headers is null");
        requireNonNull(body, "body is null");
    }

    // -- queries

    /**
     * Returns whether the call succeeded.
     *
     * @return true for a status from 200 to 299
     */
    public boolean succeeded() {
        return status >= 200 && status < 300;
    }
}
