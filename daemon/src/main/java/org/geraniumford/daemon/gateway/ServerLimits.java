package org.geraniumford.daemon.gateway;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.LongSupplier;
import org.geraniumford.core.fleet.BackendServer;
import org.geraniumford.core.fleet.ServerDirectory;
import org.geraniumford.core.fleet.ServerState;
import org.geraniumford.core.limits.LimitTurns;
import org.geraniumford.core.limits.ServerLimitUse;
import org.geraniumford.transport.log.LogEvent;

/**
 * The limits that backend servers name in their responses: what is read, logged, counted and exchanged with the other
 * entries. Used only on the network thread.
 */
public final class ServerLimits {
    /** Bounds the gossip message; the other limits follow in the messages after it. */
    private static final int MAX_ANNOUNCED_SERVERS = 64;

    private static final int MAX_LOGGED_VALUE_LENGTH = 40;

    private final ServerDirectory directory;
    private final LongSupplier sharedMillis;
    private final Map<String, LimitTurns> turnsByService = new HashMap<>();
    private Runnable changeListener = () -> {};

    private ServerLimits(ServerDirectory directory, LongSupplier sharedMillis) {
        this.directory = directory;
        this.sharedMillis = sharedMillis;
    }

    // -- construction

    static ServerLimits of(ServerDirectory directory, LongSupplier sharedMillis) {
        return new ServerLimits(
                requireNonNull(directory, "directory is null"), requireNonNull(sharedMillis, "sharedMillis is null"));
    }

    // -- queries

    /** Returns whose turn it is to use servers of a service that name limits. */
    LimitTurns turns(String service) {
        return turnsByService.computeIfAbsent(service, name -> LimitTurns.empty(System.nanoTime()));
    }

    /**
     * Returns the limits to announce to the other entries, with what this entry uses of them.
     *
     * @return at most 64 servers' limits: those that changed or were used recently, and now and then the others
     */
    public List<ServerLimitUse> gossip() {
        long nowNanos = System.nanoTime();
        return directory.all().stream()
                .filter(state -> state.limit().isAnnouncementDue(nowNanos))
                .sorted(Comparator.comparingLong(state -> state.limit().announcedNanos() - nowNanos))
                .limit(MAX_ANNOUNCED_SERVERS)
                .map(state -> announce(state, nowNanos))
                .toList();
    }

    private ServerLimitUse announce(ServerState state, long nowNanos) {
        BackendServer server = state.server();
        return state.limit().announce(server.id(), server.incarnation(), directory.entryShare(), nowNanos);
    }

    // -- commands

    /** Sets the listener for limits and uses that are to be announced to the peers at once. */
    void onChanged(Runnable listener) {
        changeListener = requireNonNull(listener, "listener is null");
    }

    /**
     * Applies the final response of a server to a request of a caller.
     *
     * @param server the server
     * @param field what the response says
     * @param liftsLimit whether a response without a limit ends it; false for one that may not be the server's own
     * @param source what was answered, for the log
     */
    void applyResponse(ServerState server, ServerLimitField field, boolean liftsLimit, String source) {
        if (field instanceof ServerLimitField.Named named) {
            apply(server, OptionalDouble.of(named.requestsPerSecond()), source);
        } else if (field instanceof ServerLimitField.Invalid invalid) {
            logInvalid(server, invalid.value(), source);
        } else if (liftsLimit) {
            apply(server, OptionalDouble.empty(), source);
        }
    }

    /**
     * Applies a response that may name a limit but does not end one: an interim response, or one to a call of this
     * entry's own.
     *
     * @param server the server
     * @param field what the response says
     * @param source what was answered, for the log
     */
    public void applyOwnCallResponse(BackendServer server, ServerLimitField field, String source) {
        directory
                .find(server.id())
                .filter(state -> state.server().incarnation() == server.incarnation())
                .ifPresent(state -> applyResponse(state, field, false, source));
    }

    private void apply(ServerState server, OptionalDouble rate, String source) {
        OptionalDouble before = server.limit().rate();
        if (server.limit().apply(rate, sharedMillis.getAsLong(), System.nanoTime())) {
            log(server, before, source, 0);
            changeListener.run();
        }
    }

    /** Records that a request is sent to a server on any way: for a caller, or a call of this entry's own. */
    public void recordUse(ServerState server) {
        if (server.limit().isNamed()) {
            server.limit().use(directory.entryShare(), System.nanoTime());
            changeListener.run();
        }
    }

    /**
     * Returns whether a server that names a limit has room for a call or request, without regard to customers.
     *
     * @param server the server
     * @return true if it has not reached its limit, or names none
     */
    public boolean hasRoom(ServerState server) {
        return server.limit().hasRoom(directory.entryShare(), false, System.nanoTime());
    }

    /**
     * Applies what a peer announced; servers that are unknown, or known under another incarnation, are ignored.
     *
     * @param peer the name of the peer's host
     * @param told the announced limits
     */
    public void applyGossip(String peer, List<ServerLimitUse> told) {
        told.forEach(use -> directory
                .find(use.server())
                .filter(state -> state.server().incarnation() == use.incarnation())
                .ifPresent(state -> applyGossip(peer, use, state)));
    }

    private void applyGossip(String peer, ServerLimitUse use, ServerState state) {
        OptionalDouble before = state.limit().rate();
        long nowMillis = sharedMillis.getAsLong();
        if (state.limit().applyGossip(peer, use, directory.entryShare(), nowMillis, System.nanoTime())) {
            log(state, before, peer, Math.max(0, nowMillis - use.namedMillis()));
        }
    }

    // -- log

    private static void log(ServerState server, OptionalDouble before, String source, long ageMillis) {
        LogEvent.of("server_limit")
                .with("server", server.server().id())
                .with("per_second", text(server.limit().rate()))
                .with("before", text(before))
                .with("source", source)
                .with("age_ms", ageMillis)
                .info();
    }

    private static String text(OptionalDouble rate) {
        return rate.isPresent() ? String.valueOf(rate.getAsDouble()) : "none";
    }

    private static void logInvalid(ServerState server, String value, String source) {
        LogEvent.of("server_limit_ignored")
                .with("server", server.server().id())
                .with("value", value.substring(0, Math.min(value.length(), MAX_LOGGED_VALUE_LENGTH)))
                .with("source", source)
                .info();
    }
}
