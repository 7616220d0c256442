package org.geraniumford.core.service;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.OptionalInt;

/**
 * A customer as configured.
 *
 * @param name its name, told to backend servers
 * @param keys the API keys that it holds
 * @param priority its rank, which goes before the route's; empty if it has none
 * @param isolated whether it shares no cached part with any other customer
 */
public record ApiCustomer(String name, List<String> keys, OptionalInt priority, boolean isolated) {
    /** Checks and copies the components. */
    public ApiCustomer {
        requireNonNull(name, "name is null");
        keys = List.copyOf(keys);
        requireNonNull(priority, "priority is null");
    }
}
