package org.geraniumford.daemon.entry;

import java.util.Optional;

/**
 * The target of a plain service call.
 *
 * @param service the service's name
 * @param path the path and query on the service, beginning with {@code /}
 */
record ServicePath(String service, String path) {
    private static final String PREFIX = "/services/";

    // -- construction

    /**
     * Parses a request target, for example {@code /services/NAME/PATH?QUERY}. Returns empty if it does not start with
     * {@code /services/}, or has no service name or no path after the name.
     */
    static Optional<ServicePath> of(String uri) {
        if (!uri.startsWith(PREFIX)) {
            return Optional.empty();
        }
        String remainder = uri.substring(PREFIX.length());
        int slash = remainder.indexOf('/');
        return slash < 1
                ? Optional.empty()
                : Optional.of(new ServicePath(remainder.substring(0, slash), remainder.substring(slash)));
    }
}
