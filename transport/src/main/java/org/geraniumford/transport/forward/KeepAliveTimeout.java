package org.geraniumford.transport.forward;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;

/**
 * Parses the {@code Keep-Alive} header field, in which a server announces how long it keeps an idle connection open.
 */
final class KeepAliveTimeout {
    /** The fraction of the announced timeout after which an idle connection is not reused any more. */
    private static final double SAFE_FRACTION = 0.7;

    private static final String PARAMETER_PREFIX = "timeout=";

    private KeepAliveTimeout() {}

    // -- reading

    /**
     * Returns how long an idle connection may be reused.
     *
     * @param header the value of the header field, with the timeout in seconds
     * @return the {@link #SAFE_FRACTION} of the announced timeout, or empty if the header field has none
     */
    static Optional<Duration> parse(String header) {
        return Arrays.stream(header.split(","))
                .map(String::strip)
                .filter(item -> item.startsWith(PARAMETER_PREFIX))
                .map(item -> item.substring(PARAMETER_PREFIX.length()))
                .filter(seconds -> seconds.matches("[0-9]{1,6}"))
                .map(seconds -> Duration.ofMillis((long) (Integer.parseInt(seconds) * 1000L * SAFE_FRACTION)))
                .findFirst();
    }
}
