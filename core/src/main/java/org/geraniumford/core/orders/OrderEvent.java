package org.geraniumford.core.orders;

import java.util.List;
import java.util.Optional;
import org.geraniumford.core.store.TableRow;

/** An input to an {@link OrderMachine}. */
public sealed interface OrderEvent {
    /**
     * The state of the engine was observed.
     *
     * @param loadedWeightsDigest the digest of the weights that the engine has loaded
     * @param checksFencing whether the engine refuses orders with old fencing tokens
     * @param target what the engine should have loaded; empty to leave it unchanged
     */
    record EngineObserved(String loadedWeightsDigest, boolean checksFencing, Optional<EngineTarget> target)
            implements OrderEvent {}

    /**
     * The row of the lease was read.
     *
     * @param row the row; empty if it does not exist
     */
    record LeaseRead(Optional<TableRow> row) implements OrderEvent {}

    /**
     * The row of the lease was written.
     *
     * @param version the new version of the row
     */
    record LeaseWritten(long version) implements OrderEvent {}

    /**
     * The load tickets were read.
     *
     * @param rows the rows of tickets that exist
     */
    record TicketsRead(List<TableRow> rows) implements OrderEvent {}

    /**
     * A load ticket was acquired.
     *
     * @param row the name of the ticket's row
     * @param version the new version of the row
     */
    record TicketTaken(String row, long version) implements OrderEvent {}

    /** A write found another version of the row than expected, so that nothing was written. */
    record Conflicted() implements OrderEvent {}

    /** A read or write of the store failed; a write may have taken effect. */
    record StoreFailed() implements OrderEvent {}

    /** No request is running on the engine, and none will be sent to it. */
    record EngineIdle() implements OrderEvent {}

    /**
     * The engine responded to the order, the order failed, or it was not sent because the lease had expired; the
     * engine's state shows the outcome.
     */
    record OrderEnded() implements OrderEvent {}

    /** The periodic timer fired. */
    record Tick() implements OrderEvent {}
}
