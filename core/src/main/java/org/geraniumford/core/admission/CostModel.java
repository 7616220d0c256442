package org.geraniumford.core.admission;

/**
 * What an engine's work takes, learned from its answers as exponentially weighted moving averages.
 *
 * @param prefillNanosPerToken the time to compute one missed prompt token, in nanoseconds
 * @param tokenNanos the time between two answer tokens of one request, in nanoseconds
 * @param answerTokens the length of an answer, in tokens
 * @param delayNanos the time that a request delays the next one besides its prefill, in nanoseconds
 */
public record CostModel(double prefillNanosPerToken, double tokenNanos, double answerTokens, double delayNanos) {
    private static final double GAIN = 0.1;
    private static final double INITIAL_PREFILL_NANOS_PER_TOKEN = 50_000;
    private static final double INITIAL_TOKEN_NANOS = 20_000_000;
    private static final double INITIAL_ANSWER_TOKENS = 64;
    private static final int MIN_MISSED_TOKENS = 64;

    // -- construction

    /**
     * Returns the model of an engine that has not answered yet.
     *
     * @return 50 µs for a prompt token, 20 ms between answer tokens, answers of 64 tokens
     */
    public static CostModel initial() {
        return new CostModel(INITIAL_PREFILL_NANOS_PER_TOKEN, INITIAL_TOKEN_NANOS, INITIAL_ANSWER_TOKENS, 0);
    }

    // -- combinators

    /**
     * Learns from one prefill. Prefills of few tokens are passed over, since their fixed cost prevails.
     *
     * @param missedTokens the number of tokens computed
     * @param nanos the time it took
     * @return a new model
     */
    public CostModel withPrefill(long missedTokens, long nanos) {
        return missedTokens < MIN_MISSED_TOKENS
                ? this
                : new CostModel(
                        average(prefillNanosPerToken, (double) nanos / missedTokens),
                        tokenNanos,
                        answerTokens,
                        delayNanos);
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
                        prefillNanosPerToken,
                        average(tokenNanos, (double) nanos / (tokens - 1)),
                        average(answerTokens, tokens),
                        delayNanos);
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
        return new CostModel(prefillNanosPerToken, tokenNanos, answerTokens, average(delayNanos, sample));
    }

    // -- queries

    /**
     * Estimates a prefill.
     *
     * @param missedTokens the number of tokens to compute
     * @return the time in nanoseconds
     */
    public long prefillNanos(long missedTokens) {
        return (long) (prefillNanosPerToken * missedTokens);
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
