package org.geraniumford.daemon.entry;

import java.util.Optional;

/**
 * The target of a plain service call.
 *
 * @param service the service's name
 * @param path the path and query on the service, from {@code /}
 */
record ServicePath(String service, String path) {
    private static final String PREFIX = "/services/";

    // -- construction

    /** Reads a request target; empty if it does not name a service. */
    static Optional<ServicePath> of(String uri) {
        if (!uri.startsWith(PREFIX)) {
            return Optional.empty();
        }
        String rest = uri.substring(PREFIX.length());
        int slash = rest.indexOf('/');
        return slash < 1
                ? Optional.empty()
                : Optional.of(new ServicePath(rest.substring(0, slash), rest.substring(slash)));
    }
}
