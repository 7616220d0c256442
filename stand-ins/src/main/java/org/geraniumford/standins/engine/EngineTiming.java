package org.geraniumford.standins.engine;

/**
 * The durations of an engine's work, in microseconds.
 *
 * @param prefillMicrosPerToken the prefill time for each uncached prompt token, and for each output token before the
 *     resume offset
 * @param prefillMicrosPerBlock the prefill time for each uncached block, in addition to its tokens
 * @param decodeBaseMicros the base time of a decode step, which emits one token of every running request
 * @param decodeMicrosPerRequest the time added to a decode step for each running request
 * @param weightLoadMicros the time to load a model version or an adapter
 * @param transferMicrosPerBlock the time to import or export a cached block
 * @param eventDelayMicros the delay from a change of the prefix cache to its event
 * @param loadReportLagMicros the least interval between two samples of the reported load
 */
public record EngineTiming(
        double prefillMicrosPerToken,
        double prefillMicrosPerBlock,
        double decodeBaseMicros,
        double decodeMicrosPerRequest,
        double weightLoadMicros,
        double transferMicrosPerBlock,
        double eventDelayMicros,
        double loadReportLagMicros) {
    private static final EngineTiming DEFAULTS =
            new EngineTiming(100, 500, 15_000, 500, 1_000_000, 20_000, 50_000, 200_000);

    // -- construction

    /**
     * Returns the default timing.
     *
     * @return 10,000 prompt tokens a second without the 0.5 ms added for each block, about 65 output tokens a second
     *     for a request that runs alone, 1 s to load weights
     */
    public static EngineTiming ofDefaults() {
        return DEFAULTS;
    }

    /**
     * Returns a copy with all durations divided by a factor.
     *
     * @param factor the factor, more than 0; more than 1 is faster
     * @return new timing
     * @throws IllegalArgumentException if the factor is not more than 0
     */
    public EngineTiming scaled(double factor) {
        if (!(factor > 0)) {
            throw new IllegalArgumentException("the time scale is " + factor + ", not more than 0");
        }
        return new EngineTiming(
                prefillMicrosPerToken / factor,
                prefillMicrosPerBlock / factor,
                decodeBaseMicros / factor,
                decodeMicrosPerRequest / factor,
                weightLoadMicros / factor,
                transferMicrosPerBlock / factor,
                eventDelayMicros / factor,
                loadReportLagMicros / factor);
    }

    /**
     * Returns a copy with another delay of the cache events.
     *
     * @param micros the delay in microseconds
     * @return new timing
     */
    public EngineTiming withEventDelayMicros(double micros) {
        return new EngineTiming(
                prefillMicrosPerToken,
                prefillMicrosPerBlock,
                decodeBaseMicros,
                decodeMicrosPerRequest,
                weightLoadMicros,
                transferMicrosPerBlock,
                micros,
                loadReportLagMicros);
    }

    // -- queries

    /**
     * Returns the duration of a prefill.
     *
     * @param tokens the number of tokens to compute
     * @param blocks the number of blocks to compute
     * @return the duration in microseconds
     */
    public long prefillMicros(int tokens, int blocks) {
        return Math.round(tokens * prefillMicrosPerToken + blocks * prefillMicrosPerBlock);
    }

    /**
     * Returns the duration of a decode step.
     *
     * @param running the number of running requests
     * @return the duration in microseconds, at least 1
     */
    public long decodeStepMicros(int running) {
        return Math.max(1, Math.round(decodeBaseMicros + running * decodeMicrosPerRequest));
    }
}
