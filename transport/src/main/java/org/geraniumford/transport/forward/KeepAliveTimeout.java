package org.geraniumford.transport.forward;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;

/** Reads how long the other side of a connection keeps it open while idle. */
final class KeepAliveTimeout {
    /** The part of the announced time after which a connection is not used any more. */
    private static final double SAFE_FRACTION = 0.7;

    private static final String PARAMETER_PREFIX = "timeout=";

    private KeepAliveTimeout() {}

    // -- reading

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
