package org.geraniumford.standins.service;

/** The fault injected into one call. */
public enum CallFault {
    /** The call is executed and gets its response. */
    NONE(true, true),
    /** The call is not executed and gets an error response. */
    ERROR_BEFORE(false, true),
    /** The call is not executed and its connection is aborted. */
    LOST_BEFORE(false, false),
    /** The call is executed and gets an error response. */
    ERROR_AFTER(true, true),
    /** The call is executed and its connection is aborted. */
    LOST_AFTER(true, false);

    private final boolean executed;
    private final boolean responded;

    CallFault(boolean executed, boolean responded) {
        this.executed = executed;
        this.responded = responded;
    }

    // -- queries

    /**
     * Returns whether the call is executed.
     *
     * @return true if the execution is counted
     */
    public boolean executed() {
        return executed;
    }

    /**
     * Returns whether the caller gets a response.
     *
     * @return false if the connection is aborted
     */
    public boolean responded() {
        return responded;
    }

    /**
     * Returns whether the response is an error.
     *
     * @return true if the status is 500
     */
    public boolean isError() {
        return this == ERROR_BEFORE || this == ERROR_AFTER;
    }
}
