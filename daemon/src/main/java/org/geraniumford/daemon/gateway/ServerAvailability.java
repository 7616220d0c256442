package org.geraniumford.daemon.gateway;

import static java.util.Objects.requireNonNull;

import org.geraniumford.core.fleet.BackendServer;
import org.geraniumford.core.fleet.LeavingServer;
import org.geraniumford.core.fleet.ServerDirectory;
import org.geraniumford.transport.log.LogEvent;

/** What backend servers say in their responses about taking further requests. Used only on the network thread. */
public final class ServerAvailability {
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
}
