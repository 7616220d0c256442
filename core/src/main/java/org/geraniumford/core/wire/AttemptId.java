package org.geraniumford.core.wire;

import static java.util.Objects.requireNonNull;

/**
 * Names one try of one request on one backend server.
 *
 * @param requestId the request's identifier, unique across all entries
 * @param attempt the number of the try, from 1
 */
public record AttemptId(String requestId, int attempt) {
    /** Checks the components. */
    public AttemptId {
        requireNonNull(requestId, "requestId is null");
        if (attempt < 1) {
            throw new IllegalArgumentException("attempt is " + attempt + ", not at least 1");
        }
    }

    /**
     * Returns the next try of the same request.
     *
     * @return an identifier with the attempt number increased by one
     */
    public AttemptId next() {
        return new AttemptId(requestId, attempt + 1);
    }
}
