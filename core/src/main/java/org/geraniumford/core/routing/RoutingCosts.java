package org.geraniumford.core.routing;

/**
 * The terms of the expected time to first token.
 *
 * @param prefillMicrosPerToken the time to compute one missed prompt token, in microseconds
 * @param crossDomainMicros the round trip to another failure domain, in microseconds
 * @param pendingFactor the share of the prefill time that a piece costs while another request computes it, 0 to 1
 * @param duplicationFactor the share of the prefill time added for tokens that another host holds, 0 or more
 * @param saturationWaitMicros the wait from which a host counts as saturated, in microseconds
 */
public record RoutingCosts(
        double prefillMicrosPerToken,
        long crossDomainMicros,
        double pendingFactor,
        double duplicationFactor,
        long saturationWaitMicros) {
    private static final int DEFAULT_PREFILL_TOKENS_PER_SECOND = 10_000;
    private static final double MICROS_PER_SECOND = 1_000_000.0;
    private static final long DEFAULT_CROSS_DOMAIN_MICROS = 1_000;
    private static final double DEFAULT_PENDING_FACTOR = 0.25;
    private static final double DEFAULT_DUPLICATION_FACTOR = 1.0;
    private static final long DEFAULT_SATURATION_WAIT_MICROS = 500_000;

    /** Checks the components. */
    public RoutingCosts {
        if (prefillMicrosPerToken <= 0 || pendingFactor < 0 || pendingFactor > 1 || duplicationFactor < 0) {
            throw new IllegalArgumentException("a cost term is out of range");
        }
    }

    // -- construction

    /**
     * Returns the costs of an engine that computes 10,000 prompt tokens a second.
     *
     * @return the standard terms
     */
    public static RoutingCosts ofDefaults() {
        return ofPrefillRate(DEFAULT_PREFILL_TOKENS_PER_SECOND);
    }

    /**
     * Returns the standard costs with another engine speed.
     *
     * @param tokensPerSecond the prompt tokens that an engine computes a second, at least 1
     * @return the terms
     */
    public static RoutingCosts ofPrefillRate(int tokensPerSecond) {
        return new RoutingCosts(
                MICROS_PER_SECOND / tokensPerSecond,
                DEFAULT_CROSS_DOMAIN_MICROS,
                DEFAULT_PENDING_FACTOR,
                DEFAULT_DUPLICATION_FACTOR,
                DEFAULT_SATURATION_WAIT_MICROS);
    }

    // -- queries

    /**
     * Computes the time to compute prompt tokens.
     *
     * @param tokens the number of tokens
     * @return microseconds
     */
    public long prefillMicros(double tokens) {
        return Math.round(tokens * prefillMicrosPerToken);
    }

    /**
     * Says whether a host is too busy to be worth waiting for.
     *
     * @param waitMicros its estimated wait
     * @return true from {@code saturatedMicros} on
     */
    public boolean isSaturated(long waitMicros) {
        return waitMicros >= saturationWaitMicros;
    }
}
