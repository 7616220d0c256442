package org.geraniumford.core.service;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.OptionalInt;

/**
 * A customer, as defined by the configuration.
 *
 * @param name the customer's name, which is sent to backend servers
 * @param keys the customer's API keys
 * @param priority the customer's priority, which overrides the route's; 0 is served first; empty if it has none
 * @param isolated whether the customer shares no cached segment with other customers
 */
public record ApiCustomer(String name, List<String> keys, OptionalInt priority, boolean isolated) {
    /** Checks and copies the components. */
    public ApiCustomer {
        requireNonNull(name, "name is null");
        keys = List.copyOf(keys);
        requireNonNull(priority, "priority is null");
    }
}
