package org.geraniumford.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The loads of an entry as its peers know them, so that only those that differ are announced. Not thread-safe. */
public final class AnnouncedLoads {
    private Map<String, ServerLoad> announced = Map.of();

    private AnnouncedLoads() {}

    // -- construction

    /**
     * Creates an object without announced loads.
     *
     * @return a new object
     */
    public static AnnouncedLoads empty() {
        return new AnnouncedLoads();
    }

    // -- queries

    /**
     * Returns what peers that know the announced loads have to learn.
     *
     * @param loads the entry's loads, without idle servers
     * @return the loads that differ, and an idle one for each server whose load has ended
     */
    public List<ServerLoad> changes(List<ServerLoad> loads) {
        Map<String, ServerLoad> ended = new HashMap<>(announced);
        List<ServerLoad> changes = new ArrayList<>();
        for (ServerLoad load : loads) {
            if (!load.equals(ended.remove(load.server()))) {
                changes.add(load);
            }
        }
        ended.keySet().forEach(server -> changes.add(ServerLoad.idle(server)));
        return changes;
    }

    // -- commands

    /**
     * Records that the peers were told of all loads.
     *
     * @param loads the entry's loads, without idle servers
     */
    public void record(List<ServerLoad> loads) {
        Map<String, ServerLoad> newAnnounced = new HashMap<>();
        loads.forEach(load -> newAnnounced.put(load.server(), load));
        announced = newAnnounced;
    }
}
