package org.geraniumford.core.routing;

/**
 * The terms of the expected time to first token.
 *
 * @param prefillMicrosPerToken the time to compute one missed prompt token, in microseconds
 * @param crossDomainMicros the round trip to another failure domain, in microseconds
 * @param pendingShare the share of the prefill time that a piece costs while another request computes it, 0 to 1
 * @param duplicationShare the share of the prefill time added for tokens that another host holds, 0 or more
 * @param saturatedMicros the wait from which a host counts as saturated, in microseconds
 */
public record CostModel(
        double prefillMicrosPerToken,
        long crossDomainMicros,
        double pendingShare,
        double duplicationShare,
        long saturatedMicros) {
    private static final int STANDARD_TOKENS_PER_SECOND = 10_000;
    private static final double MICROS_PER_SECOND = 1_000_000.0;
    private static final long STANDARD_CROSS_DOMAIN_MICROS = 1_000;
    private static final double STANDARD_PENDING_SHARE = 0.25;
    private static final double STANDARD_DUPLICATION_SHARE = 1.0;
    private static final long STANDARD_SATURATED_MICROS = 500_000;

    /** Checks the components. */
    public CostModel {
        if (prefillMicrosPerToken <= 0 || pendingShare < 0 || pendingShare > 1 || duplicationShare < 0) {
            throw new IllegalArgumentException("a cost term is out of range");
        }
    }

    // -- construction

    /**
     * Returns the costs of an engine that computes 10,000 prompt tokens a second.
     *
     * @return the standard terms
     */
    public static CostModel standard() {
        return ofPrefillRate(STANDARD_TOKENS_PER_SECOND);
    }

    /**
     * Returns the standard costs with another engine speed.
     *
     * @param tokensPerSecond the prompt tokens that an engine computes a second, at least 1
     * @return the terms
     */
    public static CostModel ofPrefillRate(int tokensPerSecond) {
        return new CostModel(
                MICROS_PER_SECOND / tokensPerSecond,
                STANDARD_CROSS_DOMAIN_MICROS,
                STANDARD_PENDING_SHARE,
                STANDARD_DUPLICATION_SHARE,
                STANDARD_SATURATED_MICROS);
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
    public boolean saturated(long waitMicros) {
        return waitMicros >= saturatedMicros;
    }
}
