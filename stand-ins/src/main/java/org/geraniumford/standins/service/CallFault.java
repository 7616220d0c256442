package org.geraniumford.standins.service;

/** What happens to one call. */
public enum CallFault {
    /** It runs and is answered. */
    NONE(true, true),
    /** It does not run and is answered with an error. */
    ERROR_BEFORE(false, true),
    /** It does not run and its connection is cut. */
    LOST_BEFORE(false, false),
    /** It runs and is answered with an error. */
    ERROR_AFTER(true, true),
    /** It runs and its connection is cut. */
    LOST_AFTER(true, false);

    private final boolean runs;
    private final boolean answered;

    CallFault(boolean runs, boolean answered) {
        this.runs = runs;
        this.answered = answered;
    }

    // -- queries

    /**
     * Says whether the call takes effect.
     *
     * @return true if it is counted
     */
    public boolean runs() {
        return runs;
    }

    /**
     * Says whether the caller hears anything.
     *
     * @return false if the connection is cut
     */
    public boolean answered() {
        return answered;
    }

    /**
     * Says whether the answer is an error.
     *
     * @return true if the status is 500
     */
    public boolean error() {
        return this == ERROR_BEFORE || this == ERROR_AFTER;
    }
}
