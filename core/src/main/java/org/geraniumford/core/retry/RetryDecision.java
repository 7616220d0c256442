package org.geraniumford.core.retry;

/** The decision after a failed attempt. */
public enum RetryDecision {
    /** Retry, preferably at another host. */
    RETRY,
    /** Send the failure to the caller. */
    FINAL,
    /** Send a failure to the caller: a retry would be safe, but the retry budget is spent. */
    BUDGET_SPENT
}
