package org.geraniumford.core.configuration;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * A version of the operators' configuration that has passed validation.
 *
 * @param version the version, at least 0; a larger version is newer; 0 is the empty configuration
 * @param digest the hexadecimal SHA-256 digest of {@code text}; empty for the empty configuration
 * @param text the text of the merged folder, in INI; empty for the empty configuration
 * @param customers the customers by name
 * @param models the models by name
 * @param priorityClasses the priority classes by name
 * @param services the plain services by name
 * @param customersByKeyDigest the customers by the hexadecimal SHA-256 digest of each of their API keys
 */
public record Configuration(
        long version,
        String digest,
        String text,
        Map<String, Customer> customers,
        Map<String, Model> models,
        Map<String, PriorityClass> priorityClasses,
        Map<String, PlainService> services,
        Map<String, Customer> customersByKeyDigest) {
    private static final Configuration EMPTY =
            new Configuration(0, "", "", Map.of(), Map.of(), Map.of(), Map.of(), Map.of());

    /** Checks the components and copies the maps. */
    public Configuration {
        requireNonNull(digest, "digest is null");
        requireNonNull(text, "text is null");
        customers = Map.copyOf(customers);
        models = Map.copyOf(models);
        priorityClasses = Map.copyOf(priorityClasses);
        services = Map.copyOf(services);
        customersByKeyDigest = Map.copyOf(customersByKeyDigest);
    }

    // -- construction

    /**
     * Returns the empty configuration, which a process has before it loads its first version.
     *
     * @return the configuration with version 0
     */
    public static Configuration empty() {
        return EMPTY;
    }

    /**
     * Creates a configuration.
     *
     * @param version the version, at least 1
     * @param digest the hexadecimal SHA-256 digest of {@code text}
     * @param text the text of the merged folder, in INI
     * @param customers the customers by name
     * @param models the models by name
     * @param priorityClasses the priority classes by name
     * @param services the plain services by name
     * @return the configuration, with the customers indexed by the digests of their API keys
     * @throws IllegalStateException if two customers have an API key in common
     */
    public static Configuration of(
            long version,
            String digest,
            String text,
            Map<String, Customer> customers,
            Map<String, Model> models,
            Map<String, PriorityClass> priorityClasses,
            Map<String, PlainService> services) {
        Map<String, Customer> customersByKeyDigest = customers.values().stream()
                .flatMap(customer -> customer.keyDigests().stream().map(key -> Map.entry(key, customer)))
                .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, Map.Entry::getValue));
        return new Configuration(
                version, digest, text, customers, models, priorityClasses, services, customersByKeyDigest);
    }

    // -- queries

    /**
     * Returns the model of the given name.
     *
     * @param name the name in the request
     * @return the model, or empty if no model has that name
     */
    public Optional<Model> model(String name) {
        return Optional.ofNullable(models.get(name));
    }

    /**
     * Returns the priority class of a request.
     *
     * @param name the name in the request, or empty for the class with the largest rank; if several classes have that
     *     rank, the one whose name sorts last
     * @return the class, or empty if no class has the given name or none is configured
     */
    public Optional<PriorityClass> priorityClass(Optional<String> name) {
        Function<String, Optional<PriorityClass>> byName = key -> Optional.ofNullable(priorityClasses.get(key));
        return name.isPresent()
                ? name.flatMap(byName)
                : priorityClasses.values().stream()
                        .max(java.util.Comparator.comparingInt(PriorityClass::rank)
                                .thenComparing(PriorityClass::name));
    }
}
