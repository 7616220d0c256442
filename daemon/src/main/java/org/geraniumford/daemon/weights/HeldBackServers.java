package org.geraniumford.daemon.weights;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.geraniumford.core.fleet.ServerState;
import org.geraniumford.core.time.LocalClock;
import org.geraniumford.daemon.gateway.GatewayState;
import org.geraniumford.transport.log.LogEvent;

/**
 * The servers that an order without an answer holds back from other terms. Asks each for a report, because one that
 * stands still reads an order only when it goes on. Used on one network thread.
 */
final class HeldBackServers {
    /** The minimum time between two reports of one server; they cost engine time and are billed. */
    private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);

    private final GatewayState state;
    private final EngineAdmin engines;
    private final KnownLease known;
    private final LocalClock clock;
    private final Map<String, Long> askedNanos = new HashMap<>();

    /**
     * Creates the servers of a process that has asked none.
     *
     * @param state the limits of servers, which reports count against
     * @param engines the client that requests reports
     * @param known the lease, which learns of the answers
     * @param clock the local clock
     */
    HeldBackServers(GatewayState state, EngineAdmin engines, KnownLease known, LocalClock clock) {
        this.state = state;
        this.engines = engines;
        this.known = known;
        this.clock = clock;
    }

    // -- commands

    /**
     * Asks those of some servers that may not have read an order yet. One that has no room for further requests is
     * asked as well, as before an order: requests may keep it at its limit all the time.
     */
    void ask(Collection<ServerState> servers) {
        askedNanos.values().removeIf(nanos -> !isRecent(nanos));
        servers.stream()
                .filter(server -> known.isAnswerMissing(server.server().id()))
                .filter(server -> !askedNanos.containsKey(server.server().id()))
                .filter(server -> !server.pause().isPaused(clock.nanos()))
                .forEach(this::ask);
    }

    private boolean isRecent(long nanos) {
        return clock.nanos() - nanos < REPORT_INTERVAL.toNanos();
    }

    private void ask(ServerState server) {
        String id = server.server().id();
        long sentNanos = clock.nanos();
        askedNanos.put(id, sentNanos);
        state.serverLimits().recordUse(server);
        engines.report(server.server()).whenComplete((report, failure) -> {
            if (failure == null) {
                known.recordAnswer(id, sentNanos);
            }
            LogEvent.of("held_back_server_asked")
                    .with("server", id)
                    .with("outcome", failure == null ? "answered" : failure)
                    .with(
                            "after_ms",
                            Duration.ofNanos(clock.nanos() - sentNanos).toMillis())
                    .info();
        });
    }
}
