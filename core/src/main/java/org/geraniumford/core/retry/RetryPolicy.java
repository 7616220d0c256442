package org.geraniumford.core.retry;

import java.util.EnumSet;
import java.util.Set;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;

/**
 * The rules for retries.
 *
 * @param maxAttempts the largest number of attempts for one request, at least 1
 * @param baseBackoffNanos the mean wait before the first retry, in nanoseconds
 * @param maxBackoffNanos the longest wait before a retry, in nanoseconds
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
    private static final int MAX_DOUBLINGS = 10;
    private static final int DEFAULT_ATTEMPTS = 4;
    private static final long DEFAULT_BASE_BACKOFF_NANOS = 5_000_000;
    private static final long DEFAULT_MAX_BACKOFF_NANOS = 200_000_000;

    /** Checks the components. */
    public RetryPolicy {
        if (maxAttempts < 1) {
            throw new IllegalArgumentException("maxAttempts is " + maxAttempts + ", not at least 1");
        }
        if (baseBackoffNanos < 0 || maxBackoffNanos < baseBackoffNanos) {
            throw new IllegalArgumentException(
                    "the waits " + baseBackoffNanos + " and " + maxBackoffNanos + " are not in order");
        }
    }

    // -- construction

    /**
     * Returns the rules for model requests.
     *
     * @return four attempts, 5 ms to 200 ms apart
     */
    public static RetryPolicy ofDefaults() {
        return new RetryPolicy(DEFAULT_ATTEMPTS, DEFAULT_BASE_BACKOFF_NANOS, DEFAULT_MAX_BACKOFF_NANOS);
    }

    // -- queries

    /**
     * Decides what follows a failed attempt.
     *
     * @param refusal the failure
     * @param idempotent whether running the request twice has the same effect as running it once
     * @param attempt the number of the failed attempt, from 1
     * @param budgetAvailable whether the retry budget holds a retry
     * @return the decision
     */
    public RetryDecision decide(Refusal refusal, boolean idempotent, int attempt, boolean budgetAvailable) {
        boolean useful = RETRYABLE_ON_ANOTHER_HOST.contains(refusal.reason()) && attempt < maxAttempts;
        if (!useful || !refusal.verdict().allowsRetry(idempotent)) {
            return RetryDecision.FINAL;
        }
        return budgetAvailable ? RetryDecision.RETRY : RetryDecision.BUDGET_SPENT;
    }

    /**
     * Computes the wait before the next attempt: exponential with full jitter.
     *
     * @param attempt the number of the failed attempt, from 1
     * @param random a random number from 0 inclusive to 1 exclusive
     * @return 0 or more nanoseconds, less than {@code maxNanos}
     */
    public long backoffNanos(int attempt, double random) {
        int doublings = Math.min(attempt, MAX_DOUBLINGS);
        long ceiling = Math.min(maxBackoffNanos, baseBackoffNanos << doublings);
        return (long) (ceiling * random);
    }
}
