package org.geraniumford.core.verdict;

/**
 * Whether a failed request may have had an effect on a backend server. When the verdicts of several attempts are
 * combined, the one declared last in this enum prevails.
 */
public enum Verdict {
    /** No backend server ran the request, and none will. */
    NOT_RUN("not_run") {
        @Override
        public boolean allowsRetry(boolean idempotent) {
            return true;
        }
    },
    /** The request may have been sent to a backend server; its effect is unknown. */
    MAY_HAVE_RUN("may_have_run") {
        @Override
        public boolean allowsRetry(boolean idempotent) {
            return idempotent;
        }
    },
    /** The request ran on a backend server. */
    RAN("ran") {
        @Override
        public boolean allowsRetry(boolean idempotent) {
            return idempotent;
        }
    };

    private final String label;

    Verdict(String label) {
        this.label = label;
    }

    // -- queries

    /**
     * Returns whether a retry is safe.
     *
     * @param idempotent whether running the request twice has the same effect as running it once
     * @return true if the request may be retried
     */
    public abstract boolean allowsRetry(boolean idempotent);

    /**
     * Returns the spelling used in JSON bodies, logs and metric labels.
     *
     * @return a lower-case label
     */
    public String label() {
        return label;
    }
}
