package org.geraniumford.standins.engine;

/**
 * How long the engine's work takes. All times are in microseconds.
 *
 * @param prefillPerToken for each prompt token that is not cached
 * @param prefillPerPiece for each piece that is not cached, besides its tokens
 * @param decodeStep for one token of every running request
 * @param decodePerRequest added to a step for each running request
 * @param load to load a version or an adapter
 * @param transferPerPiece to import or export a cached piece
 * @param eventDelay from a change of the cache to its event
 * @param loadLag the longest age of the load figures
 */
public record EngineTiming(
        double prefillPerToken,
        double prefillPerPiece,
        double decodeStep,
        double decodePerRequest,
        double load,
        double transferPerPiece,
        double eventDelay,
        double loadLag) {
    private static final EngineTiming STANDARD =
            new EngineTiming(100, 500, 15_000, 500, 1_000_000, 20_000, 50_000, 200_000);

    // -- construction

    /**
     * Returns the times of an ordinary engine.
     *
     * @return 10,000 prompt tokens a second, about 60 answer tokens a second for each request, 1 s to load
     */
    public static EngineTiming standard() {
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
                prefillPerToken / factor,
                prefillPerPiece / factor,
                decodeStep / factor,
                decodePerRequest / factor,
                load / factor,
                transferPerPiece / factor,
                eventDelay / factor,
                loadLag / factor);
    }

    /**
     * Changes the delay of the cache events.
     *
     * @param micros the delay in microseconds
     * @return new times
     */
    public EngineTiming withEventDelay(double micros) {
        return new EngineTiming(
                prefillPerToken,
                prefillPerPiece,
                decodeStep,
                decodePerRequest,
                load,
                transferPerPiece,
                micros,
                loadLag);
    }

    // -- queries

    /**
     * Returns the time of a prefill.
     *
     * @param tokens the tokens to compute
     * @param pieces the pieces to compute
     * @return microseconds
     */
    public long prefill(int tokens, int pieces) {
        return Math.round(tokens * prefillPerToken + pieces * prefillPerPiece);
    }

    /**
     * Returns the time of a decode step.
     *
     * @param running the number of running requests
     * @return microseconds, at least 1
     */
    public long step(int running) {
        return Math.max(1, Math.round(decodeStep + running * decodePerRequest));
    }
}
