package org.geraniumford.core.retry;

/** What follows a failed attempt. */
public enum RetryDecision {
    /** Try again, preferably on another host. */
    RETRY,
    /** Give the failure to the caller. */
    FINAL,
    /** A retry would be safe, but the budget is spent; give that to the caller. */
    BUDGET_SPENT
}
