package org.geraniumford.core.service;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;

/**
 * A rule that sends requests of one host name and path prefix to a service.
 *
 * @param name the operator's name of the route
 * @param host the host name that requests must bear
 * @param pathPrefix the path prefix, with a slash at both ends
 * @param kind what may be repeated
 * @param resumable whether a stream may go on at another backend server after its last event
 * @param anonymous whether requests need no key
 * @param timeout the longest time that a request may be kept waiting
 * @param latencyObjective the time within which an answer earns its full benefit
 * @param priority the rank, 0 first
 * @param maxAttempts how many backend servers may run one request
 * @param split the services with their weights, at least one
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        boolean resumable,
        boolean anonymous,
        Duration timeout,
        Duration latencyObjective,
        int priority,
        int maxAttempts,
        List<WeightedService> split) {
    /** Checks and copies the components. */
    public Route {
        requireNonNull(name, "name is null");
        requireNonNull(host, "host is null");
        requireNonNull(pathPrefix, "prefix is null");
        requireNonNull(kind, "kind is null");
        requireNonNull(timeout, "timeout is null");
        requireNonNull(latencyObjective, "latencyObjective is null");
        split = List.copyOf(split);
        if (split.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " has no service");
        }
    }

    // -- queries

    /**
     * Says whether a request that may have run can be sent again.
     *
     * @return true if a second run does no harm
     */
    public boolean isIdempotent() {
        return kind.isIdempotent(resumable);
    }

    /**
     * Draws a service by the weights of the split.
     *
     * @param draw a number from 0 up to but not including 1
     * @return the name of the service
     */
    public String pickService(double draw) {
        int total = split.stream().mapToInt(WeightedService::weight).sum();
        double left = draw * total;
        for (WeightedService target : split) {
            left -= target.weight();
            if (left < 0) {
                return target.service();
            }
        }
        return split.get(split.size() - 1).service();
    }
}
