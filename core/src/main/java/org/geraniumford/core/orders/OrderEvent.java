package org.geraniumford.core.orders;

import java.util.List;
import java.util.Optional;
import org.geraniumford.core.store.TableRow;

/** What an order machine learns. */
public sealed interface OrderEvent {
    /**
     * The engine's state and what it should hold.
     *
     * @param heldWeightsDigest the digest of the weights that the engine holds
     * @param checksFencing whether the engine refuses orders with old numbers
     * @param target what it should hold; empty to leave it as it is
     */
    record EngineObserved(String heldWeightsDigest, boolean checksFencing, Optional<EngineTarget> target)
            implements OrderEvent {}

    /**
     * The lease's row was read.
     *
     * @param row the row; empty if there is none
     */
    record LeaseRead(Optional<TableRow> row) implements OrderEvent {}

    /**
     * The lease's row was written.
     *
     * @param version the row's new version
     */
    record LeaseWritten(long version) implements OrderEvent {}

    /**
     * The load tickets were read.
     *
     * @param rows the rows that exist
     */
    record TicketsRead(List<TableRow> rows) implements OrderEvent {}

    /**
     * A load ticket was taken.
     *
     * @param row the ticket's row
     * @param version the row's new version
     */
    record TicketTaken(String row, long version) implements OrderEvent {}

    /** A write met another version of its row, so nothing was written. */
    record Conflicted() implements OrderEvent {}

    /** A read or a write of the store failed; a write may have taken effect. */
    record StoreFailed() implements OrderEvent {}

    /** No request runs on the engine, and none will be passed on. */
    record EngineIdle() implements OrderEvent {}

    /** The order was answered or failed; the engine's state tells what became of it. */
    record OrderEnded() implements OrderEvent {}

    /** Time has passed. */
    record Tick() implements OrderEvent {}
}
