package org.geraniumford.core.service;

import static java.util.Objects.requireNonNull;

import java.util.Optional;

/**
 * A service as configured.
 *
 * @param name its name
 * @param maxConnections how many connections one of its backend servers takes from all callers together
 * @param engine the size of its engines; empty for a plain service
 * @param cacheStore the store that this service is; empty for one that runs requests
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
