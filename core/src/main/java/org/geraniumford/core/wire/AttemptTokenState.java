package org.geraniumford.core.wire;

import org.geraniumford.core.verdict.Verdict;

/** What a sidecar knows about an attempt token. */
public enum AttemptTokenState {
    /** The token was never passed to the backend server, and never will be. */
    CLOSED(Verdict.NOT_RUN),
    /** The token was passed to the backend server. */
    PASSED(Verdict.MAY_HAVE_RUN),
    /** The token is older than the sidecar's start or its memory, so the sidecar cannot tell. */
    UNKNOWN(Verdict.MAY_HAVE_RUN);

    private final Verdict verdict;

    AttemptTokenState(Verdict verdict) {
        this.verdict = verdict;
    }

    /**
     * Returns what the state proves about the call.
     *
     * @return the verdict for the attempt that the token belongs to
     */
    public Verdict verdict() {
        return verdict;
    }
}
