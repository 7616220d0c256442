package org.geraniumford.core.fleet;

import java.util.List;
import org.geraniumford.core.limits.ServerLimitUse;
import org.geraniumford.core.stream.StreamOrigin;

/**
 * What an entry announces about backend servers.
 *
 * @param complete whether all loads of the sender are announced, not only those that changed since its last message
 * @param loads the sender's load on backend servers; if it is complete, without idle servers
 * @param leaving the backend servers that the sender recently saw leaving
 * @param limits the limits that backend servers name, with what the sender uses of them
 * @param streams the streams that the sender began lately, of services whose servers have several versions
 * @param speeds the speeds of backend servers as the sender measured them; if it is complete, all of them
 */
public record ServerGossip(
        boolean complete,
        List<ServerLoad> loads,
        List<LeavingServer> leaving,
        List<ServerLimitUse> limits,
        List<StreamOrigin> streams,
        List<SpeedAnnouncement> speeds) {
    /** Copies the lists. */
    public ServerGossip {
        loads = List.copyOf(loads);
        leaving = List.copyOf(leaving);
        limits = List.copyOf(limits);
        streams = List.copyOf(streams);
        speeds = List.copyOf(speeds);
    }

    // -- construction

    /**
     * Returns an announcement without servers.
     *
     * @return empty lists
     */
    public static ServerGossip empty() {
        return new ServerGossip(true, List.of(), List.of(), List.of(), List.of(), List.of());
    }
}
