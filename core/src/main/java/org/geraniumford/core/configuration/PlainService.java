package org.geraniumford.core.configuration;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Set;

/**
 * A service beside the model engines to which the system routes.
 *
 * @param name the name in request paths
 * @param idempotentMethods the HTTP methods whose calls may be repeated, in upper case
 * @param timeout the longest time that a call may take
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
     * Says whether a call may be repeated.
     *
     * @param method the HTTP method in upper case
     * @return true if running it twice has the same effect as running it once
     */
    public boolean isIdempotent(String method) {
        return idempotentMethods.contains(method);
    }
}
