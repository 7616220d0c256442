package org.geraniumford.core.configuration;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Set;

/**
 * A service other than a model engine to which the router forwards calls.
 *
 * @param name the name in request paths
 * @param idempotentMethods the HTTP methods whose calls may be retried even if they may have run, in upper case
 * @param timeout the maximum duration of a call
 */
public record PlainService(String name, Set<String> idempotentMethods, Duration timeout) {
    /** Checks the components and copies the set. */
    public PlainService {
        requireNonNull(name, "name is null");
        requireNonNull(timeout, "timeout is null");
        idempotentMethods = Set.copyOf(idempotentMethods);
    }

    // -- queries

    /**
     * Returns whether a call may be retried even if it may have run.
     *
     * @param method the HTTP method in upper case
     * @return true if the method is listed: running the call twice then has the same effect as running it once
     */
    public boolean isIdempotent(String method) {
        return idempotentMethods.contains(method);
    }
}
