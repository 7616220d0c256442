package org.geraniumford.core.admission;

import static java.util.Objects.requireNonNull;

/** What an engine's work takes, learned from its answers. Later answers count more than earlier ones. Immutable. */
public final class EngineCostModel {
    private static final double SMOOTHING_FACTOR = 0.1;
    private static final double INITIAL_PREFILL_NANOS_PER_TOKEN = 50_000;
    private static final double INITIAL_INTER_TOKEN_NANOS = 20_000_000;
    private static final double INITIAL_OUTPUT_TOKENS = 64;
    private static final double INITIAL_UNCACHED_TOKENS = 4_000;

    private final LinearFit prefill;
    private final double interTokenNanos;
    private final double outputTokens;
    private final double delayNanos;

    private EngineCostModel(LinearFit prefill, double tokenNanos, double answerTokens, double delayNanos) {
        this.prefill = requireNonNull(prefill, "prefill is null");
        this.interTokenNanos = tokenNanos;
        this.outputTokens = answerTokens;
        this.delayNanos = delayNanos;
    }

    // -- construction

    /**
     * Returns the model of an engine that has not answered yet.
     *
     * @return 50 µs for a prompt token, 20 ms between answer tokens, answers of 64 tokens
     */
    public static EngineCostModel initial() {
        return of(INITIAL_PREFILL_NANOS_PER_TOKEN, INITIAL_INTER_TOKEN_NANOS, INITIAL_OUTPUT_TOKENS);
    }

    /**
     * Returns the model of an engine that is known.
     *
     * @param prefillNanosPerToken the time to compute one missed prompt token, in nanoseconds
     * @param tokenNanos the time between two answer tokens of one request, in nanoseconds
     * @param answerTokens the length of an answer, in tokens
     * @return a model without fixed costs
     */
    public static EngineCostModel of(double prefillNanosPerToken, double tokenNanos, double answerTokens) {
        LinearFit prefill = LinearFit.of(prefillNanosPerToken, 0, INITIAL_UNCACHED_TOKENS);
        return new EngineCostModel(prefill, tokenNanos, answerTokens, 0);
    }

    // -- combinators

    /**
     * Learns from one prefill.
     *
     * @param missedTokens the number of tokens computed
     * @param nanos the time from its begin to the first answer token
     * @return a new model
     */
    public EngineCostModel withPrefill(long missedTokens, long nanos) {
        return new EngineCostModel(
                prefill.withSample((double) missedTokens, (double) nanos), interTokenNanos, outputTokens, delayNanos);
    }

    /**
     * Learns how long a request kept the engine from the next one.
     *
     * @param missedTokens the number of tokens computed
     * @param nanos the time from passing the request on to its first token, shared by the requests that waited at once
     * @return a new model
     */
    public EngineCostModel withDelay(long missedTokens, long nanos) {
        double sample = Math.max(0, nanos - prefillNanos(missedTokens));
        return new EngineCostModel(prefill, interTokenNanos, outputTokens, movingAverage(delayNanos, sample));
    }

    /**
     * Learns from one answer.
     *
     * @param tokens the number of tokens, first to last
     * @param nanos the time from the first token to the last
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
     * Estimates a prefill.
     *
     * @param missedTokens the number of tokens to compute
     * @return the time to the first answer token in nanoseconds
     */
    public long prefillNanos(long missedTokens) {
        return (long) prefill.predict((double) missedTokens);
    }

    /**
     * Estimates how long a request keeps the engine from the next one.
     *
     * @param missedTokens the number of tokens to compute
     * @return the time in nanoseconds
     */
    public long occupiedNanos(long missedTokens) {
        return prefillNanos(missedTokens) + (long) delayNanos;
    }

    /**
     * Estimates how long an answer holds its place in the batch.
     *
     * @param maxTokens the longest answer allowed, in tokens
     * @return the time in nanoseconds
     */
    public long decodeNanos(int maxTokens) {
        return (long) (interTokenNanos * Math.min(outputTokens, maxTokens));
    }

    private static double movingAverage(double old, double sample) {
        return old + SMOOTHING_FACTOR * (sample - old);
    }
}
