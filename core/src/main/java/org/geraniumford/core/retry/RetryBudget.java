package org.geraniumford.core.retry;

/**
 * A token bucket that limits retries to a fraction of the requests. Each request adds a fraction of a retry, each
 * second adds a small constant amount, and each retry consumes one. Immutable.
 *
 * @param balance the number of retries available, 0 up to {@link #MAX_BALANCE}
 * @param updatedNanos when the balance was last refilled by time, in nanoseconds of a monotonic clock
 */
public record RetryBudget(double balance, long updatedNanos) {
    /** The number of retries that one request adds. */
    public static final double RETRIES_PER_REQUEST = 0.1;

    /** The number of retries that one second adds, so that an idle process can retry. */
    public static final double RETRIES_PER_SECOND = 1.0;

    /** The maximum balance, in retries. */
    public static final double MAX_BALANCE = 50.0;

    private static final double INITIAL_BALANCE = 10.0;
    private static final double NANOS_PER_SECOND = 1_000_000_000.0;

    // -- construction

    /**
     * Creates the budget of a process that starts, with a small initial balance.
     *
     * @param nowNanos the current time, in nanoseconds of a monotonic clock
     * @return a new budget
     */
    public static RetryBudget start(long nowNanos) {
        return new RetryBudget(INITIAL_BALANCE, nowNanos);
    }

    // -- queries

    /**
     * Returns whether a retry is available.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return true if {@link #spend} would succeed
     */
    public boolean isAvailable(long nowNanos) {
        return refilled(nowNanos).balance >= 1.0;
    }

    // -- transitions

    /**
     * Adds the fraction of a retry that one request earns.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return the budget after the request
     */
    public RetryBudget withRequest(long nowNanos) {
        RetryBudget refilled = refilled(nowNanos);
        return new RetryBudget(Math.min(MAX_BALANCE, refilled.balance + RETRIES_PER_REQUEST), refilled.updatedNanos);
    }

    /**
     * Consumes one retry.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return the budget after the retry
     * @throws IllegalStateException if no retry is available
     */
    public RetryBudget spend(long nowNanos) {
        RetryBudget refilled = refilled(nowNanos);
        if (refilled.balance < 1.0) {
            throw new IllegalStateException("the retry budget is spent");
        }
        return new RetryBudget(refilled.balance - 1.0, refilled.updatedNanos);
    }

    private RetryBudget refilled(long nowNanos) {
        long elapsedNanos = Math.max(0, nowNanos - updatedNanos);
        double earned = elapsedNanos / NANOS_PER_SECOND * RETRIES_PER_SECOND;
        return new RetryBudget(Math.min(MAX_BALANCE, balance + earned), updatedNanos + elapsedNanos);
    }
}
