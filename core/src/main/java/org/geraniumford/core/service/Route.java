package org.geraniumford.core.service;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;

/**
 * A rule that routes requests for one host name and path prefix to a service.
 *
 * @param name the route's name in the configuration
 * @param host the host name that requests must be addressed to
 * @param pathPrefix the prefix of the request's path, with a slash at both ends
 * @param kind whether requests may be retried after they may have run, and how responses are forwarded
 * @param resumable whether a stream may be resumed at another backend server after the last delivered event
 * @param anonymous whether requests need no API key
 * @param timeout the maximum time from reading the header fields of a request to the end of its response, streams
 *     included
 * @param latencyObjective the response time up to which a response has its full value to the caller; the router does
 *     not use it
 * @param priority the priority of requests whose customer has none; 0 is served first
 * @param maxAttempts the maximum number of backend servers that may run one request
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
    /**
     * Checks and copies the components.
     *
     * @throws IllegalArgumentException if the split is empty
     */
    public Route {
        requireNonNull(name, "name is null");
        requireNonNull(host, "host is null");
        requireNonNull(pathPrefix, "pathPrefix is null");
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
     * Returns whether a request that may have run can be retried.
     *
     * @return true if running the request a second time does no harm
     */
    public boolean isIdempotent() {
        return kind.isIdempotent(resumable);
    }

    /**
     * Picks a service by the weights of the split.
     *
     * @param draw a random number from 0 inclusive to 1 exclusive
     * @return the name of the service
     */
    public String pickService(double draw) {
        int totalWeight = split.stream().mapToInt(WeightedService::weight).sum();
        double remaining = draw * totalWeight;
        for (WeightedService target : split) {
            remaining -= target.weight();
            if (remaining < 0) {
                return target.service();
            }
        }
        return split.get(split.size() - 1).service();
    }
}
