package org.geraniumford.core.service;

import static java.util.Objects.requireNonNull;

/**
 * One target of a route's traffic split.
 *
 * @param service the name of the service
 * @param weight the target's share of the traffic relative to the other targets, 0 or more
 */
public record WeightedService(String service, int weight) {
    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if the weight is negative
     */
    public WeightedService {
        requireNonNull(service, "service is null");
        if (weight < 0) {
            throw new IllegalArgumentException("weight " + weight + " is negative");
        }
    }
}
