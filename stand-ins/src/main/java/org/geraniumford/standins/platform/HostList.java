package org.geraniumford.standins.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.TreeMap;

/** The list of hosts, which shows changes late. It reads no clock. */
final class HostList {
    private final long lagMicros;
    private final Deque<Change> pendingChanges = new ArrayDeque<>();
    private final TreeMap<String, HostBody> visibleHosts = new TreeMap<>();
    private boolean setStale;

    HostList(long lagMicros) {
        this.lagMicros = lagMicros;
    }

    // -- commands

    void put(HostBody host, long now) {
        pendingChanges.add(new Change(host, now + lagMicros));
    }

    /** Stops or restarts showing changes. */
    void setStale(boolean on) {
        setStale = on;
    }

    // -- queries

    /** Returns the hosts as the list shows them. Those whose state is {@code gone} are left out. */
    List<HostBody> hosts(long now) {
        while (!setStale && !pendingChanges.isEmpty() && pendingChanges.peek().due <= now) {
            apply(pendingChanges.poll().host);
        }
        return List.copyOf(visibleHosts.values());
    }

    private void apply(HostBody host) {
        if (host.state().equals("gone")) {
            visibleHosts.remove(host.name());
        } else {
            visibleHosts.put(host.name(), host);
        }
    }

    private record Change(HostBody host, long due) {}
}
