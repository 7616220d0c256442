package org.geraniumford.core.orders;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.geraniumford.core.store.TableRow;

/**
 * The rows that limit how many runners load weights at once. A row that has not changed for the ticket timeout, as
 * observed on this process's monotonic clock, counts as abandoned. Not thread-safe.
 */
public final class LoadTickets {
    /** The name of the table that holds the tickets. */
    public static final String TABLE = "load-tickets";
    /** The number of runners that may load weights at once. */
    public static final int TICKET_COUNT = 3;

    private final String ticketHolder;
    private final long ticketTimeoutNanos;
    private final Map<String, ObservedRow> observedRows = new HashMap<>();

    LoadTickets(String ticketHolder, long ticketTimeoutNanos) {
        this.ticketHolder = ticketHolder;
        this.ticketTimeoutNanos = ticketTimeoutNanos;
    }

    /**
     * Returns the first ticket that has no row, is already held by this process, or is abandoned, given the rows that
     * exist; empty if there is none.
     */
    Optional<OrderAction.TakeTicket> findFree(List<TableRow> rows, long nowNanos) {
        Map<String, TableRow> byName = rows.stream().collect(Collectors.toMap(TableRow::name, Function.identity()));
        observedRows.keySet().retainAll(byName.keySet());
        rows.forEach(row -> observedRows.merge(
                row.name(),
                new ObservedRow(row.version(), nowNanos),
                (previous, current) -> previous.version() == current.version() ? previous : current));
        // Processes begin with different tickets, so that fewer of their writes conflict.
        int firstNumber = Math.floorMod(ticketHolder.hashCode(), TICKET_COUNT);
        return IntStream.range(firstNumber, firstNumber + TICKET_COUNT)
                .mapToObj(i -> "ticket-" + i % TICKET_COUNT)
                .filter(name -> isFree(byName.get(name), nowNanos))
                .map(name -> new OrderAction.TakeTicket(
                        name, byName.containsKey(name) ? byName.get(name).version() : 0))
                .findFirst();
    }

    private boolean isFree(TableRow row, long nowNanos) {
        return row == null
                || row.value().equals(ticketHolder)
                || nowNanos - observedRows.get(row.name()).sinceNanos() >= ticketTimeoutNanos;
    }

    /** The version of a row, and when this version was first observed. */
    private record ObservedRow(long version, long sinceNanos) {}
}
