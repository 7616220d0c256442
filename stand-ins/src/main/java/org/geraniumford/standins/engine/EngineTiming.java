package org.geraniumford.standins.engine;

/**
 * How long the engine's work takes. All times are in microseconds.
 *
 * @param prefillMicrosPerToken for each prompt token that is not cached
 * @param prefillMicrosPerBlock for each piece that is not cached, besides its tokens
 * @param decodeBaseMicros for one token of every running request
 * @param decodeMicrosPerRequest added to a step for each running request
 * @param weightLoadMicros to load a version or an adapter
 * @param transferMicrosPerBlock to import or export a cached piece
 * @param eventDelayMicros from a change of the cache to its event
 * @param loadReportLagMicros the longest age of the load figures
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
    private static final EngineTiming STANDARD =
            new EngineTiming(100, 500, 15_000, 500, 1_000_000, 20_000, 50_000, 200_000);

    // -- construction

    /**
     * Returns the times of an ordinary engine.
     *
     * @return 10,000 prompt tokens a second, about 60 answer tokens a second for each request, 1 s to load
     */
    public static EngineTiming ofDefaults() {
        return STANDARD;
    }

    /**
     * Makes everything faster.
     *
     * @param factor how many times faster, more than 0
     * @return new times
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
     * Changes the delay of the cache events.
     *
     * @param micros the delay in microseconds
     * @return new times
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
     * Returns the time of a prefill.
     *
     * @param tokens the tokens to compute
     * @param pieces the pieces to compute
     * @return microseconds
     */
    public long prefillMicros(int tokens, int pieces) {
        return Math.round(tokens * prefillMicrosPerToken + pieces * prefillMicrosPerBlock);
    }

    /**
     * Returns the time of a decode step.
     *
     * @param running the number of running requests
     * @return microseconds, at least 1
     */
    public long decodeStepMicros(int running) {
        return Math.max(1, Math.round(decodeBaseMicros + running * decodeMicrosPerRequest));
    }
}
