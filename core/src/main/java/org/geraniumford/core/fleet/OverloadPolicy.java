package org.geraniumford.core.fleet;

import java.time.Duration;
import java.util.List;
import java.util.function.Function;

/**
 * Decides which requests are refused because their servers have too much work. A late response still has value, and a
 * refusal has none, so a request is refused only if no server could begin with it in a fixed part of its time limit, or
 * if it would take memory or slots that requests in progress or more urgent ones need. Stateless.
 */
public final class OverloadPolicy {
    /**
     * The fraction of each bound up to which a request may go that others of its priority precede: a retry after a
     * rejection, or a request of a customer that has far more than its share while others are refused.
     */
    private static final double YIELDING_FRACTION = 0.75;

    /** The fewest requests a second that the servers are assumed to take, so that a wait is finite. */
    private static final double MIN_PLACES_PER_SECOND = 1;

    private static final double NANOS_PER_MILLI = 1_000_000;

    private OverloadPolicy() {}

    // -- queries

    /**
     * Decides about a request.
     *
     * @param servers the servers that could take the request, also those that count as full after a rejection
     * @param query the request's requirements
     * @param headroom what is left to more urgent requests
     * @param yielding whether other requests of the same priority go first
     * @param entries the number of entries that share the servers, at least 1
     * @param nowNanos the current time, from {@link System#nanoTime}
     * @return admitted if a server has room, or if there is no server
     */
    public static OverloadDecision decide(
            List<ServerState> servers,
            ServerQuery query,
            Headroom headroom,
            boolean yielding,
            int entries,
            long nowNanos) {
        List<ServerRoom> rooms =
                servers.stream().map(rooms(query, headroom, yielding, nowNanos)).toList();
        if (rooms.isEmpty() || rooms.stream().anyMatch(ServerRoom::isEnough)) {
            return new OverloadDecision.Admitted();
        }
        double untilRoomMs =
                rooms.stream().mapToDouble(ServerRoom::millisUntilEnough).min().orElse(0);
        double endsPerSecond =
                rooms.stream().mapToDouble(ServerRoom::endsPerSecond).sum();
        return new OverloadDecision.Refused(
                Duration.ofNanos(Math.round(untilRoomMs * NANOS_PER_MILLI)),
                Math.max(MIN_PLACES_PER_SECOND, endsPerSecond / entries),
                OverloadInputs.of(rooms));
    }

    /**
     * Returns whether one server has room for a request.
     *
     * @param state the server
     * @param query the request's requirements
     * @param headroom what is left to more urgent requests
     * @param nowNanos the current time, from {@link System#nanoTime}
     * @return true if the request would be admitted if this were the only server
     */
    public static boolean hasRoom(ServerState state, ServerQuery query, Headroom headroom, long nowNanos) {
        return rooms(query, headroom, false, nowNanos).apply(state).isEnough();
    }

    private static Function<ServerState, ServerRoom> rooms(
            ServerQuery query, Headroom headroom, boolean yielding, long nowNanos) {
        double fraction = yielding ? YIELDING_FRACTION : 1;
        return state -> query.prompt().isPresent()
                ? ServerRoom.ofEngine(state, query, headroom, fraction, nowNanos)
                : ServerRoom.ofPlainServer(state, query);
    }
}
