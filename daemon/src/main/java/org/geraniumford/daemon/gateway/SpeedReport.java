package org.geraniumford.daemon.gateway;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import org.geraniumford.core.fleet.ServerSpeed;
import org.geraniumford.core.fleet.ServerState;
import org.geraniumford.transport.log.LogEvent;

/** Keeps the servers' speeds up to date, and reports large changes. Used only on the network thread. */
final class SpeedReport {
    /** Decisions use speeds of this age at most. */
    private static final Duration REFRESH_INTERVAL = Duration.ofSeconds(1);

    /** A speed that differs from the logged one by a larger factor is logged. */
    private static final double LOGGED_FACTOR = 1.5;

    /** The shortest time between two lines about one server. */
    private static final Duration LOG_INTERVAL = Duration.ofSeconds(5);

    private final GatewayState state;
    private final GatewayMetrics metrics;
    private final Map<String, Logged> logged = new HashMap<>();
    private long refreshedNanos = System.nanoTime();

    private record Logged(ServerSpeed speed, long nanos) {}

    private SpeedReport(GatewayState state, GatewayMetrics metrics) {
        this.state = requireNonNull(state, "state is null");
        this.metrics = requireNonNull(metrics, "metrics is null");
    }

    // -- construction

    static SpeedReport of(GatewayState state, GatewayMetrics metrics) {
        return new SpeedReport(state, metrics);
    }

    // -- commands

    /** Updates the speeds unless that was done recently. */
    void refreshIfDue(long nowNanos) {
        if (nowNanos - refreshedNanos < REFRESH_INTERVAL.toNanos()) {
            return;
        }
        refreshedNanos = nowNanos;
        List<ServerState> measured = state.serverSpeeds().refresh(nowNanos);
        measured.forEach(server -> logIfChanged(server, nowNanos));
        logged.keySet()
                .retainAll(state.directory().all().stream()
                        .map(server -> server.server().id())
                        .collect(Collectors.toSet()));
        metrics.recordPrefillSpeeds(measured.stream()
                .filter(server -> server.speed().stepMs().isPresent())
                .mapToDouble(server -> server.speed().prefillTokensPerMs())
                .summaryStatistics());
    }

    private void logIfChanged(ServerState server, long nowNanos) {
        ServerSpeed speed = server.speed();
        Logged before = logged.get(server.server().id());
        if (before != null
                && (nowNanos - before.nanos() < LOG_INTERVAL.toNanos()
                        || !speed.differs(before.speed(), LOGGED_FACTOR))) {
            return;
        }
        logged.put(server.server().id(), new Logged(speed, nowNanos));
        metrics.countSpeedChange();
        LogEvent.of("server_speed")
                .with("server", server.server().id())
                .with("tokens_per_ms", text(speed.prefillTokensPerMs()))
                .with("step_ms", text(speed.stepMs().orElse(0)))
                .with("request_ms", text(speed.requestMs().orElse(0)))
                .with(
                        "before_tokens_per_ms",
                        text(before == null ? 0 : before.speed().prefillTokensPerMs()))
                .info();
    }

    private static String text(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }
}
