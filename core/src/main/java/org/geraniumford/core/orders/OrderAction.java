package org.geraniumford.core.orders;

import java.util.Optional;

/** An action that an {@link OrderMachine} requests. */
public sealed interface OrderAction {
    /** Reads the row of the lease. */
    record ReadLease() implements OrderAction {}

    /**
     * Writes the row of the lease.
     *
     * @param lease the new value
     * @param expectedVersion the version that the row must have; 0 if the row must not exist
     */
    record WriteLease(OrderLease lease, long expectedVersion) implements OrderAction {}

    /** Reads the load tickets. */
    record ReadTickets() implements OrderAction {}

    /**
     * Acquires a load ticket.
     *
     * @param row the name of the ticket's row
     * @param expectedVersion the version that the row must have; 0 if the row must not exist
     */
    record TakeTicket(String row, long expectedVersion) implements OrderAction {}

    /**
     * Releases a load ticket.
     *
     * @param row the name of the ticket's row
     * @param expectedVersion the version that the row must have
     */
    record ReleaseTicket(String row, long expectedVersion) implements OrderAction {}

    /** Stops sending requests to the engine; {@link OrderEvent.EngineIdle} follows once none is running. */
    record Quiesce() implements OrderAction {}

    /** Resumes sending requests to the engine. */
    record Reopen() implements OrderAction {}

    /**
     * Sends an order, unless the lease has expired by then.
     *
     * @param target what to load
     * @param term the fencing term
     * @param sequence the number of the order among all orders of this machine, from 1
     * @param leaseEndNanos when the lease expires, in nanoseconds of the clock passed to {@link OrderMachine#apply};
     *     empty if the engine itself refuses orders with old fencing tokens
     */
    record SendOrder(EngineTarget target, long term, long sequence, Optional<Long> leaseEndNanos)
            implements OrderAction {}
}
