package org.geraniumford.core.orders;

import java.util.Optional;

/** What an order machine decides. */
public sealed interface OrderAction {
    /** Read the lease's row. */
    record ReadLease() implements OrderAction {}

    /**
     * Write the lease's row.
     *
     * @param lease the new value
     * @param expectedVersion the version that must be there; 0 if there must be none
     */
    record WriteLease(OrderLease lease, long expectedVersion) implements OrderAction {}

    /** Read the load tickets. */
    record ReadTickets() implements OrderAction {}

    /**
     * Take a load ticket.
     *
     * @param row the ticket's row
     * @param expectedVersion the version that must be there; 0 if there must be none
     */
    record TakeTicket(String row, long expectedVersion) implements OrderAction {}

    /**
     * Give a load ticket back.
     *
     * @param row the ticket's row
     * @param expectedVersion the version that must be there
     */
    record ReleaseTicket(String row, long expectedVersion) implements OrderAction {}

    /** Pass no more requests to the engine, and say when none runs. */
    record Quiesce() implements OrderAction {}

    /** Pass requests to the engine again. */
    record Reopen() implements OrderAction {}

    /**
     * Send an order, unless the lease has ended by then.
     *
     * @param target what to load
     * @param term the fencing term
     * @param sequence the order's number within the term
     * @param leaseEndNanos when the lease ends; empty if the engine itself refuses old numbers
     */
    record SendOrder(EngineTarget target, long term, long sequence, Optional<Long> leaseEndNanos)
            implements OrderAction {}
}
