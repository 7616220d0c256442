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
    public static final int TICKETS = 3;

    private final String owner;
    private final long ticketNanos;
    private final Map<String, Seen> seen = new HashMap<>();

    LoadTickets(String owner, long ticketNanos) {
        this.owner = owner;
        this.ticketNanos = ticketNanos;
    }

    /** Finds a ticket to take among the rows that exist. */
    Optional<OrderAction.TakeTicket> choose(List<TableRow> rows, long now) {
        Map<String, TableRow> byName = rows.stream().collect(Collectors.toMap(TableRow::row, Function.identity()));
        seen.keySet().retainAll(byName.keySet());
        rows.forEach(row -> seen.merge(
                row.row(),
                new Seen(row.version(), now),
                (old, fresh) -> old.version() == fresh.version() ? old : fresh));
        int first = Math.floorMod(owner.hashCode(), TICKETS);
        return IntStream.range(first, first + TICKETS)
                .mapToObj(i -> "ticket-" + i % TICKETS)
                .filter(name -> free(byName.get(name), now))
                .map(name -> new OrderAction.TakeTicket(
                        name, byName.containsKey(name) ? byName.get(name).version() : 0))
                .findFirst();
    }

    private boolean free(TableRow row, long now) {
        return row == null
                || row.value().equals(owner)
                || now - seen.get(row.row()).sinceNanos() >= ticketNanos;
    }

    private record Seen(long version, long sinceNanos) {}
}
