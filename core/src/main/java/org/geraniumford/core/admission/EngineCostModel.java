package org.geraniumford.core.admission;

import static java.util.Objects.requireNonNull;

/** Estimates the time of an engine's work from its earlier responses. Recent responses have more weight. Immutable. */
public final class EngineCostModel {
    /** The weight of the newest sample in a moving average, from 0 to 1. */
    private static final double SMOOTHING_FACTOR = 0.1;

    private static final double INITIAL_PREFILL_NANOS_PER_TOKEN = 50_000;
    private static final double INITIAL_INTER_TOKEN_NANOS = 20_000_000;
    private static final double INITIAL_OUTPUT_TOKENS = 64;

    /** The mean number of uncached tokens of a prompt, assumed before the first prefill. */
    private static final double INITIAL_UNCACHED_TOKENS = 4_000;

    private final LinearFit prefill;
    private final double interTokenNanos;
    private final double outputTokens;

    /** The average time by which a request delays the next one in addition to its prefill. */
    private final double delayNanos;

    private EngineCostModel(LinearFit prefill, double interTokenNanos, double outputTokens, double delayNanos) {
        this.prefill = requireNonNull(prefill, "prefill is null");
        this.interTokenNanos = interTokenNanos;
        this.outputTokens = outputTokens;
        this.delayNanos = delayNanos;
    }

    // -- construction

    /**
     * Returns the model of an engine that has sent no response yet.
     *
     * @return 50 µs for each prompt token, 20 ms between output tokens, and responses of 64 tokens
     */
    public static EngineCostModel initial() {
        return of(INITIAL_PREFILL_NANOS_PER_TOKEN, INITIAL_INTER_TOKEN_NANOS, INITIAL_OUTPUT_TOKENS);
    }

    /**
     * Returns the model of an engine with known costs.
     *
     * @param prefillNanosPerToken the time to prefill one uncached prompt token, in nanoseconds
     * @param interTokenNanos the time between two output tokens of one request, in nanoseconds
     * @param outputTokens the expected length of a response, in tokens
     * @return a model without fixed costs
     */
    public static EngineCostModel of(double prefillNanosPerToken, double interTokenNanos, double outputTokens) {
        LinearFit prefill = LinearFit.of(prefillNanosPerToken, 0, INITIAL_UNCACHED_TOKENS);
        return new EngineCostModel(prefill, interTokenNanos, outputTokens, 0);
    }

    // -- combinators

    /**
     * Returns a model updated with the time of one prefill.
     *
     * @param uncachedTokens the number of tokens prefilled
     * @param nanos the time from the start of the prefill to the first output token, in nanoseconds
     * @return a new model
     */
    public EngineCostModel withPrefill(long uncachedTokens, long nanos) {
        return new EngineCostModel(
                prefill.withSample((double) uncachedTokens, (double) nanos), interTokenNanos, outputTokens, delayNanos);
    }

    /**
     * Returns a model updated with the time by which one request delayed the next one.
     *
     * @param uncachedTokens the number of tokens prefilled
     * @param nanos the time from forwarding the request to its first output token, divided by the number of requests
     *     that were in prefill when it was forwarded, itself included, in nanoseconds
     * @return a new model
     */
    public EngineCostModel withDelay(long uncachedTokens, long nanos) {
        double sample = Math.max(0, nanos - prefillNanos(uncachedTokens));
        return new EngineCostModel(prefill, interTokenNanos, outputTokens, movingAverage(delayNanos, sample));
    }

    /**
     * Returns a model updated with the output of one response.
     *
     * @param tokens the number of output tokens; fewer than 2 change nothing
     * @param nanos the time from the first output token to the last, in nanoseconds
     * @return a new model
     */
    public EngineCostModel withDecode(int tokens, long nanos) {
        return tokens < 2
                ? this
                : new EngineCostModel(
                        prefill,
                        movingAverage(interTokenNanos, (double) nanos / (tokens - 1)),
                        movingAverage(outputTokens, tokens),
                        delayNanos);
    }

    // -- queries

    /**
     * Estimates the time of a prefill.
     *
     * @param uncachedTokens the number of tokens to prefill
     * @return the time to the first output token, in nanoseconds
     */
    public long prefillNanos(long uncachedTokens) {
        return (long) prefill.predict((double) uncachedTokens);
    }

    /**
     * Estimates the time by which a request delays the next one.
     *
     * @param uncachedTokens the number of tokens to prefill
     * @return the time in nanoseconds
     */
    public long occupiedNanos(long uncachedTokens) {
        return prefillNanos(uncachedTokens) + (long) delayNanos;
    }

    /**
     * Estimates the time for which a response occupies its place in the batch.
     *
     * @param maxTokens the maximum number of output tokens
     * @return the time in nanoseconds
     */
    public long decodeNanos(int maxTokens) {
        return (long) (interTokenNanos * Math.min(outputTokens, maxTokens));
    }

    private static double movingAverage(double average, double sample) {
        return average + SMOOTHING_FACTOR * (sample - average);
    }
}
