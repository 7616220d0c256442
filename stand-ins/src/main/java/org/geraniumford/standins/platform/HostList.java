package org.geraniumford.standins.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.TreeMap;

/** The list of hosts, which shows changes late. It reads no clock. */
final class HostList {
    private final long lagMicros;
    private final Deque<Change> hidden = new ArrayDeque<>();
    private final TreeMap<String, HostBody> shown = new TreeMap<>();
    private boolean stale;

    HostList(long lagMicros) {
        this.lagMicros = lagMicros;
    }

    // -- commands

    void put(HostBody host, long now) {
        hidden.add(new Change(host, now + lagMicros));
    }

    /** Stops or restarts showing changes. */
    void stale(boolean on) {
        stale = on;
    }

    // -- queries

    /** Returns the hosts as the list shows them. Those whose state is {@code gone} are left out. */
    List<HostBody> hosts(long now) {
        while (!stale && !hidden.isEmpty() && hidden.peek().due <= now) {
            show(hidden.poll().host);
        }
        return List.copyOf(shown.values());
    }

    private void show(HostBody host) {
        if (host.state().equals("gone")) {
            shown.remove(host.name());
        } else {
            shown.put(host.name(), host);
        }
    }

    private record Change(HostBody host, long due) {}
}
