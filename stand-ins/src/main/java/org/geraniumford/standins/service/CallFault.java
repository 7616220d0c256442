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

    private final boolean executed;
    private final boolean responded;

    CallFault(boolean runs, boolean answered) {
        this.executed = runs;
        this.responded = answered;
    }

    // -- queries

    /**
     * Says whether the call takes effect.
     *
     * @return true if it is counted
     */
    public boolean executed() {
        return executed;
    }

    /**
     * Says whether the caller hears anything.
     *
     * @return false if the connection is cut
     */
    public boolean responded() {
        return responded;
    }

    /**
     * Says whether the answer is an error.
     *
     * @return true if the status is 500
     */
    public boolean isError() {
        return this == ERROR_BEFORE || this == ERROR_AFTER;
    }
}
