package org.geraniumford.core.wire;

import static java.util.Objects.requireNonNull;

/**
 * Names one try of one request on one backend server.
 *
 * @param requestId the request's identifier, unique across all entries
 * @param number the number of the try, from 1
 */
public record AttemptId(String requestId, int number) {
    /** Checks the components. */
    public AttemptId {
        requireNonNull(requestId, "requestId is null");
        if (number < 1) {
            throw new IllegalArgumentException("attempt is " + number + ", not at least 1");
        }
    }

    /**
     * Returns the next try of the same request.
     *
     * @return an identifier with the attempt number increased by one
     */
    public AttemptId next() {
        return new AttemptId(requestId, number + 1);
    }
}
