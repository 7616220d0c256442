package org.geraniumford.core.retry;

import java.util.EnumSet;
import java.util.Set;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;

/**
 * The policy by which failed attempts are retried.
 *
 * @param maxAttempts the maximum number of attempts of one request, at least 1
 * @param baseBackoffNanos the mean backoff before the first retry, in nanoseconds
 * @param maxBackoffNanos the upper bound of the backoff before a retry, in nanoseconds
 */
public record RetryPolicy(int maxAttempts, long baseBackoffNanos, long maxBackoffNanos) {
    private static final Set<Reason> RETRYABLE_ON_ANOTHER_HOST = EnumSet.of(
            Reason.QUEUE_FULL,
            Reason.DEADLINE_UNREACHABLE,
            Reason.NO_BACKEND,
            Reason.LEAVING,
            Reason.SHUTTING_DOWN,
            Reason.RING_FULL,
            Reason.STALE_INCARNATION,
            Reason.WRONG_WEIGHTS,
            Reason.TOKEN_CLOSED,
            Reason.CONNECT_FAILED,
            Reason.CONNECTION_LOST,
            Reason.BACKEND_FAILED,
            Reason.BROKEN_FRAME,
            Reason.STREAM_BROKEN,
            Reason.TIMEOUT);
    /** Keeps the doubling of a base backoff of up to 100 days from overflowing. */
    private static final int MAX_DOUBLINGS = 10;

    private static final int DEFAULT_ATTEMPTS = 4;
    private static final long DEFAULT_BASE_BACKOFF_NANOS = 5_000_000;
    private static final long DEFAULT_MAX_BACKOFF_NANOS = 200_000_000;

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if the number of attempts is less than 1, or the backoffs are negative or not in
     *     ascending order
     */
    public RetryPolicy {
        if (maxAttempts < 1) {
            throw new IllegalArgumentException("maxAttempts is " + maxAttempts + ", not at least 1");
        }
        if (baseBackoffNanos < 0 || maxBackoffNanos < baseBackoffNanos) {
            throw new IllegalArgumentException("baseBackoffNanos is " + baseBackoffNanos + " and maxBackoffNanos is "
                    + maxBackoffNanos + ", not 0 or more and in ascending order");
        }
    }

    // -- construction

    /**
     * Returns the default policy of model requests.
     *
     * @return four attempts, with a mean backoff of 5 ms before the first retry and at most 200 ms before any
     */
    public static RetryPolicy ofDefaults() {
        return new RetryPolicy(DEFAULT_ATTEMPTS, DEFAULT_BASE_BACKOFF_NANOS, DEFAULT_MAX_BACKOFF_NANOS);
    }

    // -- queries

    /**
     * Decides whether a failed attempt is followed by a retry.
     *
     * @param refusal the failure of the attempt
     * @param idempotent whether running the request twice has the same effect as running it once
     * @param attempt the number of the failed attempt, from 1
     * @param budgetAvailable whether the retry budget allows a retry
     * @return the decision
     */
    public RetryDecision decide(Refusal refusal, boolean idempotent, int attempt, boolean budgetAvailable) {
        boolean retryable = RETRYABLE_ON_ANOTHER_HOST.contains(refusal.reason()) && attempt < maxAttempts;
        if (!retryable || !refusal.verdict().allowsRetry(idempotent)) {
            return RetryDecision.FINAL;
        }
        return budgetAvailable ? RetryDecision.RETRY : RetryDecision.BUDGET_SPENT;
    }

    /**
     * Returns the backoff before the next attempt, which is exponential with full jitter.
     *
     * @param attempt the number of the failed attempt, from 1
     * @param random a random number from 0 inclusive to 1 exclusive
     * @return the backoff in nanoseconds, from 0 inclusive to {@code maxBackoffNanos} exclusive
     */
    public long backoffNanos(int attempt, double random) {
        int doublings = Math.min(attempt, MAX_DOUBLINGS);
        long ceilingNanos = Math.min(maxBackoffNanos, baseBackoffNanos << doublings);
        return (long) (ceilingNanos * random);
    }
}
