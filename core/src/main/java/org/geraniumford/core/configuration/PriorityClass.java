package org.geraniumford.core.configuration;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * The urgency of a request.
 *
 * @param name the name in requests
 * @param rank the class's place in the order in which a customer's requests are served; 0 is first
 * @param firstTokenDeadline the maximum time to the first token
 */
public record PriorityClass(String name, int rank, Duration firstTokenDeadline) {
    /** Checks the components. */
    public PriorityClass {
        requireNonNull(name, "name is null");
        requireNonNull(firstTokenDeadline, "firstTokenDeadline is null");
    }
}
