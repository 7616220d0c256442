package org.geraniumford.daemon.load;

import static java.util.Objects.requireNonNull;

import java.net.URI;
import java.util.List;

/**
 * Where the load goes.
 *
 * @param entries the callers' base addresses of the entries, at least one; used in turn
 */
public record LoadTarget(List<URI> entries) {
    private static final String KEY_PREFIX = "load-key-";

    /** Checks and copies the list. */
    public LoadTarget {
        requireNonNull(entries, "entries is null");
        entries = List.copyOf(entries);
        if (entries.isEmpty()) {
            throw new IllegalArgumentException("no entry is given");
        }
    }

    // -- queries

    /**
     * Returns the entry for a request.
     *
     * @param number the request's number
     * @return one of the entries, in turn
     */
    public URI entry(int number) {
        return entries.get(number % entries.size());
    }

    /**
     * Returns a customer's API key. {@link LoadConfiguration} holds its digest.
     *
     * @param customer the customer's name
     * @return the key
     */
    public static String apiKey(String customer) {
        return KEY_PREFIX + customer;
    }
}
