package org.geraniumford.core.service;

import static java.util.Objects.requireNonNull;

import java.util.Optional;

/**
 * A service, as defined by the configuration.
 *
 * @param name the service's name
 * @param maxConnections the maximum number of connections that each of the service's backend servers accepts in total
 * @param engine the spec of the service's engines; empty for a plain service
 * @param cacheStore the cache store that this service runs; empty for a service that runs requests
 */
public record ServiceDefinition(
        String name, int maxConnections, Optional<EngineSpec> engine, Optional<CacheStore> cacheStore) {
    /** Checks the components. */
    public ServiceDefinition {
        requireNonNull(name, "name is null");
        requireNonNull(engine, "engine is null");
        requireNonNull(cacheStore, "cacheStore is null");
    }
}
