package org.geraniumford.core.configuration;

import static java.util.Objects.requireNonNull;

import java.util.Set;

/**
 * A tenant whose callers the router serves.
 *
 * @param name the customer's unique name
 * @param brand the name shown to callers
 * @param keyDigests hexadecimal SHA-256 digests of the API keys that identify this customer
 * @param weight the customer's weight in each fair queue, at least 1
 * @param models the models that the customer may use; empty means all
 * @param services the plain services that the customer may call; empty means all
 * @param requestsPerSecond the limit of requests per second over all entries; 0 means no limit
 * @param tokensPerSecond the limit of prompt and output tokens per second over all entries; 0 means no limit
 * @param maxStreams the limit of concurrent model requests over all entries; 0 means no limit
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
    /**
     * Checks the components and copies the sets.
     *
     * @throws IllegalArgumentException if the weight is less than 1
     */
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
     * Returns whether the customer may use a model.
     *
     * @param model the model's name
     * @return true if the model is listed, or if no model is listed
     */
    public boolean canUseModel(String model) {
        return models.isEmpty() || models.contains(model);
    }

    /**
     * Returns whether the customer may call a plain service.
     *
     * @param service the service's name
     * @return true if the service is listed, or if no service is listed
     */
    public boolean canUseService(String service) {
        return services.isEmpty() || services.contains(service);
    }
}
