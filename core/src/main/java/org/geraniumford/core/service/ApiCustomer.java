package org.geraniumford.core.service;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.geraniumford.core.limits.CustomerQuota;

/**
 * A customer, as defined by the configuration.
 *
 * @param name the customer's name, which is sent to backend servers
 * @param keys the customer's API keys
 * @param priority the customer's priority, which overrides the route's; 0 is served first; empty if it has none
 * @param isolated whether the customer shares no cached segment with other customers
 * @param quota the limit of the customer over all entries; empty if it has none
 */
public record ApiCustomer(
        String name, List<String> keys, OptionalInt priority, boolean isolated, Optional<CustomerQuota> quota) {
    /** Checks and copies the components. */
    public ApiCustomer {
        requireNonNull(name, "name is null");
        keys = List.copyOf(keys);
        requireNonNull(priority, "priority is null");
        requireNonNull(quota, "quota is null");
    }
}
