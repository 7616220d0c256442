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

/** One version of the configuration, indexed for lookups of routes, customers and services. Immutable. */
public final class RoutingTable {
    private final long version;
    private final Map<String, List<Route>> routesByHost;
    private final Map<String, ServiceDefinition> services;
    private final Map<String, ApiCustomer> customersByKey;
    private final List<ApiCustomer> customers;
    private final Map<String, SharingGroup> groupsOfIsolated;
    private final SharingGroup sharedGroup;
    private final CallerLimits limits;

    private RoutingTable(
            long version,
            Map<String, List<Route>> routesByHost,
            Map<String, ServiceDefinition> services,
            Map<String, ApiCustomer> customersByKey,
            List<ApiCustomer> customers,
            CallerLimits limits) {
        this.version = version;
        this.routesByHost = routesByHost;
        this.services = services;
        this.customersByKey = customersByKey;
        this.limits = limits;
        this.customers = customers;
        this.groupsOfIsolated = customers.stream()
                .filter(ApiCustomer::isolated)
                .map(ApiCustomer::name)
                .distinct()
                .collect(Collectors.toMap(Function.identity(), SharingGroup::ofIsolated));
        this.sharedGroup = SharingGroup.ofAllExcept(groupsOfIsolated.keySet());
    }

    // -- construction

    /**
     * Creates a table.
     *
     * @param version the version number that the operator gave the configuration
     * @param routes the routes
     * @param services the services
     * @param customers the customers; empty if requests need no API key
     * @param limits the limits on callers
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
                version, byHost, byName, byKey, List.copyOf(customers), requireNonNull(limits, "limits is null"));
    }

    // -- queries

    /**
     * Returns the version number that the operator gave the configuration.
     *
     * @return a number that grows with each change
     */
    public long version() {
        return version;
    }

    /**
     * Returns the limits on callers.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * Finds the route of a host with the longest path prefix that matches.
     *
     * @param host the requested host name in any case, with or without a port
     * @param path the request's path without the query
     * @return the route, or empty if none matches
     */
    public Optional<Route> route(String host, String path) {
        int portSeparator = host.indexOf(':');
        String hostName = (portSeparator < 0 ? host : host.substring(0, portSeparator)).toLowerCase(Locale.ROOT);
        return routesByHost.getOrDefault(hostName, List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /**
     * Finds the customer of an API key.
     *
     * @param key the API key
     * @return the customer, or empty if the key is unknown
     */
    public Optional<ApiCustomer> customer(String key) {
        return Optional.ofNullable(customersByKey.get(key));
    }

    /**
     * Returns all customers.
     *
     * @return the customers in the order of the configuration
     */
    public List<ApiCustomer> customers() {
        return customers;
    }

    /**
     * Returns the customers with which a customer may share cached prompt segments under this configuration.
     *
     * @param customer the name of the customer; empty for a caller without one
     * @return the customer alone if it is isolated, else all that are not
     */
    public SharingGroup sharingGroup(Optional<String> customer) {
        return customer.map(groupsOfIsolated::get).orElse(sharedGroup);
    }

    /**
     * Returns whether requests need an API key.
     *
     * @return true if the configuration has customers
     */
    public boolean requiresApiKey() {
        return !customers.isEmpty();
    }

    /**
     * Finds a service.
     *
     * @param name the service's name
     * @return the service, or empty if the configuration has none of that name
     */
    public Optional<ServiceDefinition> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns all services.
     *
     * @return the services in no particular order
     */
    public Collection<ServiceDefinition> services() {
        return services.values();
    }

    /**
     * Returns the stores of cached segments.
     *
     * @return the stores of all services that have one, ordered by their addresses
     */
    public List<CacheStore> cacheStores() {
        return services.values().stream()
                .flatMap(service -> service.cacheStore().stream())
                .sorted(Comparator.comparing(CacheStore::address))
                .toList();
    }
}
