package org.geraniumford.core.routing;

/**
 * The cost terms of the expected time to first token.
 *
 * @param prefillMicrosPerToken the time to prefill one uncached prompt token, in microseconds, greater than 0
 * @param crossDomainMicros the round trip to another failure domain, in microseconds
 * @param pendingFactor the fraction of its prefill time that a block costs while another request is prefilling it, from
 *     0 to 1
 * @param duplicationFactor the penalty for prefilling tokens that another host has cached, as a fraction of their
 *     prefill time, 0 or more
 * @param saturationWaitMicros the estimated wait from which a host counts as saturated, in microseconds, greater than 0
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

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if the prefill time or a factor is out of its range
     */
    public RoutingCosts {
        if (prefillMicrosPerToken <= 0 || pendingFactor < 0 || pendingFactor > 1 || duplicationFactor < 0) {
            throw new IllegalArgumentException("a cost term is out of range");
        }
    }

    // -- construction

    /**
     * Returns the default costs, for engines that prefill 10,000 prompt tokens per second.
     *
     * @return the default terms
     */
    public static RoutingCosts ofDefaults() {
        return ofPrefillRate(DEFAULT_PREFILL_TOKENS_PER_SECOND);
    }

    /**
     * Returns the default costs, but with the given prefill rate.
     *
     * @param tokensPerSecond the number of prompt tokens that an engine prefills per second, at least 1
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
     * Returns the time to prefill prompt tokens.
     *
     * @param tokens the number of tokens, possibly weighted by a factor
     * @return the time in microseconds
     */
    public long prefillMicros(double tokens) {
        return Math.round(tokens * prefillMicrosPerToken);
    }

    /**
     * Returns whether a host is too busy to be worth waiting for.
     *
     * @param waitMicros the host's estimated wait, in microseconds
     * @return true if the wait is at least {@code saturationWaitMicros}
     */
    public boolean isSaturated(long waitMicros) {
        return waitMicros >= saturationWaitMicros;
    }
}
