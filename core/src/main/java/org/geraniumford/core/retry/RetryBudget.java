package org.geraniumford.core.retry;

/**
 * A token bucket that bounds retries to a share of the requests. Each request pays in a fraction of a retry, time pays
 * in a small floor, and each retry takes one.
 *
 * @param balance the retries that may be made now, 0 up to {@link #MAX_BALANCE}
 * @param updatedNanos when the floor was last paid in, in nanoseconds of a monotonic clock
 */
public record RetryBudget(double balance, long updatedNanos) {
    /** The retries that a request pays in. */
    public static final double RETRIES_PER_REQUEST = 0.1;

    /** The retries that a second pays in, so that an idle process can retry. */
    public static final double RETRIES_PER_SECOND = 1.0;

    /** The largest number of retries that can be saved up. */
    public static final double MAX_BALANCE = 50.0;

    private static final double INITIAL_BALANCE = 10.0;
    private static final double NANOS_PER_SECOND = 1_000_000_000.0;

    // -- construction

    /**
     * Creates a budget with a small credit.
     *
     * @param nowNanos the time
     * @return the budget at the start of a process
     */
    public static RetryBudget start(long nowNanos) {
        return new RetryBudget(INITIAL_BALANCE, nowNanos);
    }

    // -- queries

    /**
     * Says whether a retry may be made.
     *
     * @param nowNanos the time
     * @return true if {@link #spend} would leave no debt
     */
    public boolean isAvailable(long nowNanos) {
        return refilled(nowNanos).balance >= 1.0;
    }

    // -- transitions

    /**
     * Pays in for one request.
     *
     * @param nowNanos the time
     * @return the new state
     */
    public RetryBudget withRequest(long nowNanos) {
        RetryBudget present = refilled(nowNanos);
        return new RetryBudget(Math.min(MAX_BALANCE, present.balance + RETRIES_PER_REQUEST), present.updatedNanos);
    }

    /**
     * Takes one retry out.
     *
     * @param nowNanos the time
     * @return the new state
     * @throws IllegalStateException if no retry is available
     */
    public RetryBudget spend(long nowNanos) {
        RetryBudget present = refilled(nowNanos);
        if (present.balance < 1.0) {
            throw new IllegalStateException("the retry budget is spent");
        }
        return new RetryBudget(present.balance - 1.0, present.updatedNanos);
    }

    private RetryBudget refilled(long nowNanos) {
        long passed = Math.max(0, nowNanos - updatedNanos);
        double floor = passed / NANOS_PER_SECOND * RETRIES_PER_SECOND;
        return new RetryBudget(Math.min(MAX_BALANCE, balance + floor), updatedNanos + passed);
    }
}
