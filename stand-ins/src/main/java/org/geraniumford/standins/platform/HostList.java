package org.geraniumford.standins.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.TreeMap;

/** A list of hosts that shows each change after a lag. Reads no clock; callers pass the time in microseconds. */
final class HostList {
    private final long lagMicros;
    private final Deque<Change> pendingChanges = new ArrayDeque<>();
    private final TreeMap<String, HostBody> visibleHosts = new TreeMap<>();
    private boolean stale;

    HostList(long lagMicros) {
        this.lagMicros = lagMicros;
    }

    // -- commands

    /** Adds, changes or removes a host once the lag has passed. */
    void put(HostBody host, long now) {
        pendingChanges.add(new Change(host, now + lagMicros));
    }

    /** Sets whether the list stops applying changes. */
    void setStale(boolean enabled) {
        stale = enabled;
    }

    // -- queries

    /** Returns the listed hosts after the changes that are due, without those whose state is {@code gone}. */
    List<HostBody> hosts(long now) {
        while (!stale && !pendingChanges.isEmpty() && pendingChanges.peek().due <= now) {
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
