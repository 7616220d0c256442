package org.geraniumford.core.fleet;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Function;
import java.util.stream.DoubleStream;

/** Keeps the speeds of all servers up to date, and exchanges them with the other entries. Not thread-safe. */
public final class ServerSpeeds {
    /** Bounds the gossip message. */
    private static final int MAX_ANNOUNCED_SERVERS = 256;

    /**
     * A speed counts at most as this many times the median of the service, so that a server whose responses are not
     * what they seem cannot attract all load.
     */
    private static final double MAX_TIMES_MEDIAN = 5;

    /** The shortest time between two announcements of changes: each computes the medians of all servers. */
    private static final Duration CHANGES_INTERVAL = Duration.ofSeconds(1);

    private final ServerDirectory directory;
    private List<SpeedAnnouncement> dueChanges = List.of();
    private long announcedNanos;
    private boolean announced;

    private ServerSpeeds(ServerDirectory directory) {
        this.directory = requireNonNull(directory, "directory is null");
    }

    // -- construction

    /**
     * Creates the exchange of speeds.
     *
     * @param directory the known servers
     * @return a new object
     */
    public static ServerSpeeds of(ServerDirectory directory) {
        return new ServerSpeeds(directory);
    }

    // -- queries

    /**
     * Returns what to announce to the peers.
     *
     * @param complete whether the peer has to learn all speeds, not only those that changed by more than a tenth
     * @param nowNanos the current time, from {@link System#nanoTime}
     * @return the speeds that this entry has measured itself, of at most 256 servers
     */
    public List<SpeedAnnouncement> gossip(boolean complete, long nowNanos) {
        return complete
                ? announcements(state -> state.speedEstimate().announcement(state.server(), nowNanos))
                : changes(nowNanos);
    }

    private List<SpeedAnnouncement> changes(long nowNanos) {
        boolean due = !announced || nowNanos - announcedNanos >= CHANGES_INTERVAL.toNanos();
        if (due && dueChanges.isEmpty()) {
            announced = true;
            announcedNanos = nowNanos;
            dueChanges = announcements(state -> state.speedEstimate().dueAnnouncement(state.server(), nowNanos));
        }
        return dueChanges;
    }

    private List<SpeedAnnouncement> announcements(Function<ServerState, Optional<SpeedAnnouncement>> source) {
        return directory.all().stream()
                .map(source)
                .flatMap(Optional::stream)
                .limit(MAX_ANNOUNCED_SERVERS)
                .toList();
    }

    // -- commands

    /** Records that the changes were sent to the peers. */
    public void markAnnounced() {
        dueChanges.forEach(due -> directory
                .find(due.server())
                .ifPresent(state -> state.speedEstimate().markAnnounced(due)));
        dueChanges = List.of();
    }

    /**
     * Applies what a peer announced; servers that are unknown, or known under another incarnation, are ignored.
     *
     * @param peer the name of the peer's host
     * @param complete whether the peer has measured no other servers
     * @param told the announced speeds
     * @param nowNanos the current time, from {@link System#nanoTime}
     */
    public void applyGossip(String peer, boolean complete, List<SpeedAnnouncement> told, long nowNanos) {
        if (complete) {
            directory.all().forEach(state -> state.speedEstimate().forget(peer));
        }
        told.forEach(announcement -> directory
                .find(announcement.server())
                .filter(state -> state.server().incarnation() == announcement.incarnation())
                .ifPresent(state -> state.speedEstimate().applyGossip(peer, announcement, nowNanos)));
    }

    /**
     * Updates the speed of each server: the measured one, or else the median of the measured servers of its service, or
     * else the default. Called several times a second, so that no decision has to compute medians.
     *
     * @param nowNanos the current time, from {@link System#nanoTime}
     * @return the servers whose speed is a measured one
     */
    public List<ServerState> refresh(long nowNanos) {
        Map<String, List<ServerSpeed>> knownByService = new HashMap<>();
        Map<ServerState, ServerSpeed> known = new HashMap<>();
        directory
                .all()
                .forEach(state -> state.speedEstimate().speed(nowNanos).ifPresent(speed -> {
                    known.put(state, speed);
                    knownByService
                            .computeIfAbsent(state.server().service(), service -> new ArrayList<>())
                            .add(speed);
                }));
        Map<String, ServerSpeed> medians = new HashMap<>();
        knownByService.forEach((service, all) -> medians.put(service, median(all)));
        directory.all().forEach(state -> {
            ServerSpeed median = medians.getOrDefault(state.server().service(), ServerSpeed.UNKNOWN);
            ServerSpeed speed = known.getOrDefault(state, median);
            state.updateSpeed(speed.limitedTo(MAX_TIMES_MEDIAN * median.prefillTokensPerMs()));
        });
        return List.copyOf(known.keySet());
    }

    private static ServerSpeed median(List<ServerSpeed> speeds) {
        return new ServerSpeed(
                median(speeds.stream().mapToDouble(ServerSpeed::prefillTokensPerMs))
                        .orElseThrow(),
                median(known(speeds, ServerSpeed::stepMs)),
                median(known(speeds, ServerSpeed::requestMs)));
    }

    private static DoubleStream known(List<ServerSpeed> speeds, Function<ServerSpeed, OptionalDouble> component) {
        return speeds.stream().map(component).flatMapToDouble(OptionalDouble::stream);
    }

    private static OptionalDouble median(DoubleStream values) {
        double[] sorted = values.sorted().toArray();
        return sorted.length == 0 ? OptionalDouble.empty() : OptionalDouble.of(sorted[(sorted.length - 1) / 2]);
    }
}
