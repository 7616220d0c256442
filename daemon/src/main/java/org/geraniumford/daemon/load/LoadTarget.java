package org.geraniumford.daemon.load;

import static java.util.Objects.requireNonNull;

import java.net.URI;
import java.util.List;

/**
 * The entries that receive the load.
 *
 * @param entries the base addresses at which the entries accept callers, at least one; requests use them in turn
 */
public record LoadTarget(List<URI> entries) {
    private static final String KEY_PREFIX = "load-key-";

    /** Checks and copies the list. */
    public LoadTarget {
        requireNonNull(entries, "entries is null");
        entries = List.copyOf(entries);
        if (entries.isEmpty()) {
            throw new IllegalArgumentException("a load target needs at least one entry");
        }
    }

    // -- queries

    /**
     * Returns the entry that receives a request.
     *
     * @param number the request's number, from 0
     * @return the base address of one of the entries, in turn
     */
    public URI entry(int number) {
        return entries.get(number % entries.size());
    }

    /**
     * Returns a customer's API key. {@link LoadConfiguration} contains its digest.
     *
     * @param customer the customer's name
     * @return the key
     */
    public static String apiKey(String customer) {
        return KEY_PREFIX + customer;
    }
}
