package org.geraniumford.daemon.gateway;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import org.geraniumford.core.fleet.BackendServer;
import org.geraniumford.core.fleet.LeavingServer;
import org.geraniumford.core.fleet.ServerDirectory;
import org.geraniumford.core.fleet.ServerState;
import org.geraniumford.transport.log.LogEvent;

/** What backend servers say in their responses about taking further requests. Used only on the network thread. */
public final class ServerAvailability {
    private static final int MAX_LOGGED_VALUE_LENGTH = 40;

    private final ServerDirectory directory;
    private Runnable changeListener = () -> {};

    private ServerAvailability(ServerDirectory directory) {
        this.directory = directory;
    }

    // -- construction

    static ServerAvailability of(ServerDirectory directory) {
        return new ServerAvailability(requireNonNull(directory, "directory is null"));
    }

    // -- commands

    /** Sets the listener for changes that are to be announced to the peers at once. */
    void onChanged(Runnable listener) {
        changeListener = requireNonNull(listener, "listener is null");
    }

    /**
     * Records that a server said that it leaves. It gets nothing new for the rest of its incarnation, as if its listing
     * said so, and the peers are told in the same way.
     *
     * @param server the server, with the incarnation that the request was sent to
     * @param source what was answered, for the log
     */
    public void recordLeaving(BackendServer server, String source) {
        if (directory.markLeaving(new LeavingServer(server.id(), server.incarnation()))) {
            LogEvent.of("server_leaving")
                    .with("server", server.id())
                    .with("incarnation", server.incarnation())
                    .with("source", source)
                    .info();
            changeListener.run();
        }
    }

    /**
     * Applies a response of a server that turned a request away. The latest one counts.
     *
     * @param server the server, with the incarnation that the request was sent to
     * @param field what the response says
     * @param source what was answered, for the log
     */
    public void applyPause(BackendServer server, ServerPauseField field, String source) {
        directory
                .find(server.id())
                .filter(state -> state.server().incarnation() == server.incarnation())
                .ifPresent(state -> applyPause(state, field, source));
    }

    private void applyPause(ServerState state, ServerPauseField field, String source) {
        long nowNanos = System.nanoTime();
        if (field instanceof ServerPauseField.Asked asked) {
            Duration before = state.pause().timeLeft(nowNanos);
            state.pause().ask(asked.duration(), nowNanos);
            logPause(state, asked.duration(), before, source);
        } else if (field instanceof ServerPauseField.Invalid invalid
                && state.pause().isInvalidLogDue(nowNanos)) {
            LogEvent.of("server_pause_ignored")
                    .with("server", state.server().id())
                    .with(
                            "value",
                            invalid.value()
                                    .substring(0, Math.min(invalid.value().length(), MAX_LOGGED_VALUE_LENGTH)))
                    .with("source", source)
                    .info();
        }
    }

    private static void logPause(ServerState state, Duration asked, Duration before, String source) {
        LogEvent.of("server_paused")
                .with("server", state.server().id())
                .with("incarnation", state.server().incarnation())
                .with("asked_ms", asked.toMillis())
                .with("kept_ms", state.pause().timeLeft(System.nanoTime()).toMillis())
                .with("before_ms", before.toMillis())
                .with("source", source)
                .info();
    }
}
