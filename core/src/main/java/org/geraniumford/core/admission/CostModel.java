package org.geraniumford.core.admission;

import static java.util.Objects.requireNonNull;

/** What an engine's work takes, learned from its answers. Later answers count more than earlier ones. Immutable. */
public final class CostModel {
    private static final double GAIN = 0.1;
    private static final double INITIAL_PREFILL_NANOS_PER_TOKEN = 50_000;
    private static final double INITIAL_TOKEN_NANOS = 20_000_000;
    private static final double INITIAL_ANSWER_TOKENS = 64;
    private static final double INITIAL_MISSED_TOKENS = 4_000;

    private final LinearFit prefill;
    private final double tokenNanos;
    private final double answerTokens;
    private final double delayNanos;

    private CostModel(LinearFit prefill, double tokenNanos, double answerTokens, double delayNanos) {
        this.prefill = requireNonNull(prefill, "prefill is null");
        this.tokenNanos = tokenNanos;
        this.answerTokens = answerTokens;
        this.delayNanos = delayNanos;
    }

    // -- construction

    /**
     * Returns the model of an engine that has not answered yet.
     *
     * @return 50 µs for a prompt token, 20 ms between answer tokens, answers of 64 tokens
     */
    public static CostModel initial() {
        return of(INITIAL_PREFILL_NANOS_PER_TOKEN, INITIAL_TOKEN_NANOS, INITIAL_ANSWER_TOKENS);
    }

    /**
     * Returns the model of an engine that is known.
     *
     * @param prefillNanosPerToken the time to compute one missed prompt token, in nanoseconds
     * @param tokenNanos the time between two answer tokens of one request, in nanoseconds
     * @param answerTokens the length of an answer, in tokens
     * @return a model without fixed costs
     */
    public static CostModel of(double prefillNanosPerToken, double tokenNanos, double answerTokens) {
        LinearFit prefill = LinearFit.of(prefillNanosPerToken, 0, INITIAL_MISSED_TOKENS);
        return new CostModel(prefill, tokenNanos, answerTokens, 0);
    }

    // -- combinators

    /**
     * Learns from one prefill.
     *
     * @param missedTokens the number of tokens computed
     * @param nanos the time from its begin to the first answer token
     * @return a new model
     */
    public CostModel withPrefill(long missedTokens, long nanos) {
        return new CostModel(prefill.with((double) missedTokens, (double) nanos), tokenNanos, answerTokens, delayNanos);
    }

    /**
     * Learns how long a request kept the engine from the next one.
     *
     * @param missedTokens the number of tokens computed
     * @param nanos the time from passing the request on to its first token, shared by the requests that waited at once
     * @return a new model
     */
    public CostModel withDelay(long missedTokens, long nanos) {
        double sample = Math.max(0, nanos - prefillNanos(missedTokens));
        return new CostModel(prefill, tokenNanos, answerTokens, average(delayNanos, sample));
    }

    /**
     * Learns from one answer.
     *
     * @param tokens the number of tokens, first to last
     * @param nanos the time from the first token to the last
     * @return a new model
     */
    public CostModel withAnswer(int tokens, long nanos) {
        return tokens < 2
                ? this
                : new CostModel(
                        prefill,
                        average(tokenNanos, (double) nanos / (tokens - 1)),
                        average(answerTokens, tokens),
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
        return (long) prefill.at((double) missedTokens);
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
    public long answerNanos(int maxTokens) {
        return (long) (tokenNanos * Math.min(answerTokens, maxTokens));
    }

    private static double average(double old, double sample) {
        return old + GAIN * (sample - old);
    }
}
