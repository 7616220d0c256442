package org.geraniumford.core.wire;

import org.geraniumford.core.verdict.Verdict;

/** The state of an attempt token at a sidecar. */
public enum AttemptTokenState {
    /** The token was never used for a call to the backend server, and never will be. */
    CLOSED(Verdict.NOT_RUN),
    /** The token was used for a call to the backend server. */
    PASSED(Verdict.MAY_HAVE_RUN),
    /** The token is older than the sidecar's start or the tokens that it retains, so its use is unknown. */
    UNKNOWN(Verdict.MAY_HAVE_RUN);

    private final Verdict verdict;

    AttemptTokenState(Verdict verdict) {
        this.verdict = verdict;
    }

    /**
     * Returns the verdict that the state proves.
     *
     * @return the verdict of the attempt to which the token belongs
     */
    public Verdict verdict() {
        return verdict;
    }
}
