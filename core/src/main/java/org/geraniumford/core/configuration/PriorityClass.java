package org.geraniumford.core.configuration;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * How urgent a request is.
 *
 * @param name the name in requests
 * @param rank the order in which a customer's own requests are served; 0 is first
 * @param firstTokenDeadline the longest time to the first token
 */
public record PriorityClass(String name, int rank, Duration firstTokenDeadline) {
    /** Checks the components. */
    public PriorityClass {
        requireNonNull(name, "name is null");
        requireNonNull(firstTokenDeadline, "firstTokenDeadline is null");
    }
}
