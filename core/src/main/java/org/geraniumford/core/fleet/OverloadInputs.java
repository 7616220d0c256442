package org.geraniumford.core.fleet;

import java.util.List;

/**
 * What a refusal for overload is based on, for the log. Least and most refer to the servers that could take the
 * request; those that are loading weights or leaving are not among them.
 *
 * @param considered the number of servers that could take the request
 * @param rejecting how many of them rejected a request that was at least as urgent a short time ago
 * @param shortestWaitMs the shortest time until a server would begin with the request, in milliseconds
 * @param mostFreeTokens the most memory that a server has free for this priority, in tokens; negative if none has
 * @param mostFreeSlots the most slots that a server has free for this priority
 */
public record OverloadInputs(
        int considered, int rejecting, long shortestWaitMs, long mostFreeTokens, long mostFreeSlots) {
    /** Summarizes the rooms of the servers that were considered. */
    static OverloadInputs of(List<ServerRoom> rooms) {
        return new OverloadInputs(
                rooms.size(),
                (int) rooms.stream().filter(room -> room.fullMs() > 0).count(),
                Math.round(rooms.stream().mapToDouble(ServerRoom::waitMs).min().orElse(0)),
                Math.round(
                        rooms.stream().mapToDouble(ServerRoom::freeTokens).max().orElse(0)),
                (long) Math.floor(
                        rooms.stream().mapToDouble(ServerRoom::freeSlots).max().orElse(0)));
    }
}
