package org.geraniumford.daemon.weights;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

/** The servers that answered no order since one of them answered the last. Tells a holder that reaches no server. */
final class UnansweredServers {
    /** The time for which orders must have been unanswered; shorter interruptions end before another entry orders. */
    private static final Duration PATIENCE = Duration.ofSeconds(1);

    /** The least number of servers; fewer may be at fault themselves. */
    private static final int MIN_SERVERS = 2;

    /** The share of all servers that is not at fault at a time, as a divisor. */
    private static final int SHARE_DIVISOR = 4;

    private final Set<String> servers = new HashSet<>();
    private long sinceNanos;

    private UnansweredServers() {}

    // -- construction

    static UnansweredServers none() {
        return new UnansweredServers();
    }

    // -- queries

    /** Returns whether so many of a number of servers have not answered that the fault is on this side. */
    boolean isFaultOfThisSide(int serverCount, long nowNanos) {
        return servers.size() >= Math.max(MIN_SERVERS, serverCount / SHARE_DIVISOR)
                && nowNanos - sinceNanos > PATIENCE.toNanos();
    }

    // -- commands

    void add(String server, long nowNanos) {
        if (servers.isEmpty()) {
            sinceNanos = nowNanos;
        }
        servers.add(server);
    }

    void clear() {
        servers.clear();
    }
}
