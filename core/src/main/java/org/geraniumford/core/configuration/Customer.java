package org.geraniumford.core.configuration;

import static java.util.Objects.requireNonNull;

import java.util.Set;

/**
 * One brand whose callers the router serves.
 *
 * @param name the customer's unique name
 * @param brand the name shown to callers
 * @param keyDigests hexadecimal SHA-256 digests of the API keys that name this customer
 * @param weight the share in each fair queue, at least 1
 * @param models the models that the customer may use; empty means all
 * @param services the plain services that the customer may call; empty means all
 * @param requestsPerSecond the limit of requests a second over all entries; 0 means none
 * @param tokensPerSecond the limit of prompt and answer tokens a second over all entries; 0 means none
 * @param maxStreams the limit of concurrent model requests over all entries; 0 means none
 */
public record Customer(
        String name,
        String brand,
        Set<String> keyDigests,
        int weight,
        Set<String> models,
        Set<String> services,
        int requestsPerSecond,
        int tokensPerSecond,
        int maxStreams) {
    /** Checks the components and copies the sets. */
    public Customer {
        requireNonNull(name, "name is null");
        requireNonNull(brand, "brand is null");
        keyDigests = Set.copyOf(keyDigests);
        models = Set.copyOf(models);
        services = Set.copyOf(services);
        if (weight < 1) {
            throw new IllegalArgumentException("weight is " + weight + ", not at least 1");
        }
    }

    // -- queries

    /**
     * Says whether the customer may use a model.
     *
     * @param model the model's name
     * @return true if it is listed, or if none is listed
     */
    public boolean canUseModel(String model) {
        return models.isEmpty() || models.contains(model);
    }

    /**
     * Says whether the customer may call a plain service.
     *
     * @param service the service's name
     * @return true if it is listed, or if none is listed
     */
    public boolean canUseService(String service) {
        return services.isEmpty() || services.contains(service);
    }
}
