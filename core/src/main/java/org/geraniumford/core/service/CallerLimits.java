package org.geraniumford.core.service;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * Bounds on what a caller may send.
 *
 * @param maxHeaderBytes the largest header
 * @param maxBodyBytes the largest body
 * @param headerTimeout how long a caller may take to send a header
 * @param idleTimeout how long a connection may stay idle
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** The bounds in force until a configuration names others. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16 * 1024, 4 * 1024 * 1024, Duration.ofSeconds(3), Duration.ofSeconds(15));

    /** Checks the components. */
    public CallerLimits {
        requireNonNull(headerTimeout, "headerTimeout is null");
        requireNonNull(idleTimeout, "idleTimeout is null");
    }
}
