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
 * The rows that bound how many runners load weights at once. A row that has not changed for the ticket time, as watched
 * on the own monotonic clock, counts as abandoned. Not thread-safe.
 */
public final class LoadTickets {
    /** The table that holds the tickets. */
    public static final String TABLE = "load-tickets";
    /** How many runners load at once. */
    public static final int TICKET_COUNT = 3;

    private final String holder;
    private final long ticketTimeoutNanos;
    private final Map<String, ObservedRow> observedRows = new HashMap<>();

    LoadTickets(String owner, long ticketNanos) {
        this.holder = owner;
        this.ticketTimeoutNanos = ticketNanos;
    }

    /** Finds a ticket to take among the rows that exist. */
    Optional<OrderAction.TakeTicket> findFree(List<TableRow> rows, long now) {
        Map<String, TableRow> byName = rows.stream().collect(Collectors.toMap(TableRow::name, Function.identity()));
        observedRows.keySet().retainAll(byName.keySet());
        rows.forEach(row -> observedRows.merge(
                row.name(),
                new ObservedRow(row.version(), now),
                (old, fresh) -> old.version() == fresh.version() ? old : fresh));
        int first = Math.floorMod(holder.hashCode(), TICKET_COUNT);
        return IntStream.range(first, first + TICKET_COUNT)
                .mapToObj(i -> "ticket-" + i % TICKET_COUNT)
                .filter(name -> isFree(byName.get(name), now))
                .map(name -> new OrderAction.TakeTicket(
                        name, byName.containsKey(name) ? byName.get(name).version() : 0))
                .findFirst();
    }

    private boolean isFree(TableRow row, long now) {
        return row == null
                || row.value().equals(holder)
                || now - observedRows.get(row.name()).sinceNanos() >= ticketTimeoutNanos;
    }

    private record ObservedRow(long version, long sinceNanos) {}
}
