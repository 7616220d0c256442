package org.geraniumford.core.service;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * Limits on the requests and connections of a caller.
 *
 * @param maxHeaderBytes the maximum size of a request line, and separately of a request's header fields, in bytes
 * @param maxBodyBytes the maximum size of a request's body, in bytes
 * @param headerTimeout the maximum time that a caller may take to send a header; not enforced
 * @param idleTimeout the maximum time that a connection waits for a request's header fields, and then for its whole
 *     body
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** The limits that apply until a configuration sets others. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16 * 1024, 4 * 1024 * 1024, Duration.ofSeconds(3), Duration.ofSeconds(15));

    /** Checks the components. */
    public CallerLimits {
        requireNonNull(headerTimeout, "headerTimeout is null");
        requireNonNull(idleTimeout, "idleTimeout is null");
    }
}
