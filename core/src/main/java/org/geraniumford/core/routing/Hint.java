package org.geraniumford.core.routing;

import static java.util.Objects.requireNonNull;

/**
 * The host that last served a prefix.
 *
 * @param host the host's name
 * @param incarnation the engine's incarnation when it served the prefix
 * @param blockCount the number of blocks in the prefix
 */
public record Hint(String host, long incarnation, int blockCount) {
    /** Checks the components. */
    public Hint {
        requireNonNull(host, "host is null");
    }
}
