package org.geraniumford.core.service;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/** One version of the configuration, ready to look up routes, customers and services. */
public final class RoutingTable {
    private final long version;
    private final Map<String, List<Route>> routesByHost;
    private final Map<String, ServiceDefinition> services;
    private final Map<String, ApiCustomer> customersByKey;
    private final CallerLimits limits;
    private final boolean requiresApiKey;

    private RoutingTable(
            long version,
            Map<String, List<Route>> routesByHost,
            Map<String, ServiceDefinition> services,
            Map<String, ApiCustomer> customersByKey,
            CallerLimits limits,
            boolean keyed) {
        this.version = version;
        this.routesByHost = routesByHost;
        this.services = services;
        this.customersByKey = customersByKey;
        this.limits = limits;
        this.requiresApiKey = keyed;
    }

    // -- construction

    /**
     * Builds a table.
     *
     * @param version the operator's version number
     * @param routes the routes
     * @param services the services
     * @param customers the customers; empty if requests need no key
     * @param limits the bounds on callers
     * @return the table
     */
    public static RoutingTable of(
            long version,
            Collection<Route> routes,
            Collection<ServiceDefinition> services,
            Collection<ApiCustomer> customers,
            CallerLimits limits) {
        Map<String, List<Route>> byHost = routes.stream()
                .sorted(Comparator.comparingInt(
                                (Route route) -> route.pathPrefix().length())
                        .reversed())
                .collect(Collectors.groupingBy(route -> route.host().toLowerCase(Locale.ROOT)));
        Map<String, ServiceDefinition> byName = services.stream()
                .collect(Collectors.toMap(ServiceDefinition::name, Function.identity(), (first, second) -> second));
        Map<String, ApiCustomer> byKey = new HashMap<>();
        customers.forEach(customer -> customer.keys().forEach(key -> byKey.put(key, customer)));
        return new RoutingTable(
                version, byHost, byName, byKey, requireNonNull(limits, "limits is null"), !customers.isEmpty());
    }

    // -- queries

    /**
     * Returns the operator's version number.
     *
     * @return a number that grows with each change
     */
    public long version() {
        return version;
    }

    /**
     * Returns the bounds on callers.
     *
     * @return the bounds
     */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * Finds the route with the longest prefix that begins the path.
     *
     * @param host the host name, with or without a port
     * @param path the path without the query
     * @return the route, or empty if none matches
     */
    public Optional<Route> route(String host, String path) {
        int port = host.indexOf(':');
        String name = (port < 0 ? host : host.substring(0, port)).toLowerCase(Locale.ROOT);
        return routesByHost.getOrDefault(name, List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /**
     * Finds the customer that holds a key.
     *
     * @param key the API key
     * @return the customer, or empty if no customer holds the key
     */
    public Optional<ApiCustomer> customer(String key) {
        return Optional.ofNullable(customersByKey.get(key));
    }

    /**
     * Says whether requests need a key.
     *
     * @return true if the configuration names customers
     */
    public boolean requiresApiKey() {
        return requiresApiKey;
    }

    /**
     * Finds a service.
     *
     * @param name its name
     * @return the service, or empty if the configuration has none of that name
     */
    public Optional<ServiceDefinition> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns every service.
     *
     * @return the services in no particular order
     */
    public Collection<ServiceDefinition> services() {
        return services.values();
    }

    /**
     * Returns the store of cached parts.
     *
     * @return the store, or empty if there is none
     */
    public Optional<CacheStore> cacheStore() {
        return services.values().stream()
                .flatMap(service -> service.cacheStore().stream())
                .findFirst();
    }
}
