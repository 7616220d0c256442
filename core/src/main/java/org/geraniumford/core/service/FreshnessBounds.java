package org.geraniumford.core.service;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * How long an entry goes on without a confirmation that its configuration is the newest one.
 *
 * @param maxRefusalAge how long after the last confirmation requests may be refused because of the configuration
 * @param maxSilence how long after the last confirmation the entry asks by itself, whatever calls are in progress
 */
public record FreshnessBounds(Duration maxRefusalAge, Duration maxSilence) {
    /** The time for a connection, a call and the response, and for one more try if the first connection fails. */
    private static final Duration TIME_TO_ASK = Duration.ofMillis(800);

    /** The bounds of a deployment that sets none. */
    public static final FreshnessBounds DEFAULT = of(Duration.ofSeconds(2), Duration.ofSeconds(3));

    /** Checks the components. */
    public FreshnessBounds {
        requireNonNull(maxRefusalAge, "maxRefusalAge is null");
        requireNonNull(maxSilence, "maxSilence is null");
    }

    // -- construction

    /**
     * Creates bounds.
     *
     * @param applyTime how long after its publication a configuration must be in force
     * @param contactTime how long after a disturbance an entry must know again what the operator has published
     * @return the bounds
     */
    public static FreshnessBounds of(Duration applyTime, Duration contactTime) {
        Duration silence = contactTime.minus(TIME_TO_ASK);
        return new FreshnessBounds(applyTime, silence.compareTo(TIME_TO_ASK) < 0 ? TIME_TO_ASK : silence);
    }
}
