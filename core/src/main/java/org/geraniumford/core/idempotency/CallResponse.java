package org.geraniumford.core.idempotency;

import static java.util.Objects.requireNonNull;

/**
 * A plain service's response to a call.
 *
 * @param status the HTTP status
 * @param contentType the body's media type
 * @param body the body, as text
 */
public record CallResponse(int status, String contentType, String body) {
    /** Checks the components. */
    public CallResponse {
        requireNonNull(contentType, "contentType is null");
        requireNonNull(body, "body is null");
    }
}
