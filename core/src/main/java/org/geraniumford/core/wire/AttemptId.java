package org.geraniumford.core.wire;

import static java.util.Objects.requireNonNull;

/**
 * Identifies one attempt of one request at one backend server.
 *
 * @param requestId the request's identifier, unique across all entries
 * @param number the number of the attempt, from 1
 */
public record AttemptId(String requestId, int number) {
    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if the number is less than 1
     */
    public AttemptId {
        requireNonNull(requestId, "requestId is null");
        if (number < 1) {
            throw new IllegalArgumentException("attempt is " + number + ", not at least 1");
        }
    }

    /**
     * Returns the identifier of the next attempt of the same request.
     *
     * @return an identifier with the attempt number increased by one
     */
    public AttemptId next() {
        return new AttemptId(requestId, number + 1);
    }
}
