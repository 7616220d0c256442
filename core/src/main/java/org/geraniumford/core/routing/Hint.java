package org.geraniumford.core.routing;

import static java.util.Objects.requireNonNull;

/**
 * Where a prefix was last served.
 *
 * @param host the host
 * @param incarnation the engine's incarnation then
 * @param blocks the number of pieces in the prefix
 */
public record Hint(String host, long incarnation, int blocks) {
    /** Checks the components. */
    public Hint {
        requireNonNull(host, "host is null");
    }
}
