package org.geraniumford.core.weights;

import static java.util.Objects.requireNonNull;

/**
 * The time in which one process holds the weights lease.
 *
 * @param fencingToken the fencing token, which is higher than that of each earlier term; 0 before the first term
 * @param holder the host that holds the lease; empty before the first term, or if the row could not be read
 * @param process identifies the process on that host, which has to acquire the lease again after a restart; empty if it
 *     is not known
 */
public record LeaseTerm(long fencingToken, String holder, String process) {
    /** Checks the components. */
    public LeaseTerm {
        requireNonNull(holder, "holder is null");
        requireNonNull(process, "process is null");
    }

    // -- construction

    /**
     * Returns the term before any process held the lease.
     *
     * @return a term without a holder
     */
    public static LeaseTerm none() {
        return new LeaseTerm(0, "", "");
    }

    /**
     * Returns the term of a holder that is not known.
     *
     * @param fencingToken a token that is at least as high as each that was issued
     * @return a term whose holder is empty
     */
    public static LeaseTerm ofUnknownHolder(long fencingToken) {
        return new LeaseTerm(fencingToken, "", "");
    }

    // -- queries

    /**
     * Returns whether a process holds the lease in this term.
     *
     * @param host the process's host
     * @param processId identifies the process on that host
     * @return true if the term is the process's own
     */
    public boolean isOf(String host, String processId) {
        return holder.equals(host) && process.equals(processId);
    }

    /**
     * Returns whether some process holds the lease, but not which one.
     *
     * @return false before the first term
     */
    public boolean isOfUnknownHolder() {
        return fencingToken > 0 && holder.isEmpty();
    }

    // -- combinators

    /**
     * Returns the term that follows.
     *
     * @param host the host of the process that takes over the lease
     * @param processId identifies that process
     * @param rowVersion the version of the row that the takeover replaces; at least as high as each token that was
     *     written to the row, because a write raises the token to one more than that version at most
     * @return a term with a token that no earlier term had, also if an earlier value of the row was put back
     */
    public LeaseTerm next(String host, String processId, long rowVersion) {
        return new LeaseTerm(Math.max(fencingToken + 1, rowVersion), host, processId);
    }
}
