package org.geraniumford.daemon.command;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import org.geraniumford.daemon.entry.EntryDaemon;
import org.geraniumford.daemon.settings.EntrySettings;
import org.geraniumford.daemon.settings.SidecarSettings;
import org.geraniumford.daemon.sidecar.SidecarDaemon;

/** Starts the daemons for the command line. */
final class Daemons {
    private Daemons() {}

    static CompletableFuture<RunningDaemon> entry(EntrySettings settings) {
        return EntryDaemon.start(settings).thenApply(Entry::new);
    }

    static CompletableFuture<RunningDaemon> sidecar(SidecarSettings settings) {
        return SidecarDaemon.start(settings).thenApply(Sidecar::new);
    }

    private static String pair(String name, InetSocketAddress address) {
        return name + "=" + OperatorClient.shown(address);
    }

    private record Entry(EntryDaemon daemon) implements RunningDaemon {
        @Override
        public String addresses() {
            return pair("caller", daemon.callerAddress()) + " " + pair("operator", daemon.operatorAddress()) + " "
                    + pair("link", daemon.linkAddress());
        }

        @Override
        public CompletableFuture<Void> drain() {
            return daemon.drain();
        }

        @Override
        public CompletableFuture<Void> closed() {
            return daemon.closed();
        }

        @Override
        public void close() {
            daemon.close();
        }
    }

    private record Sidecar(SidecarDaemon daemon) implements RunningDaemon {
        @Override
        public String addresses() {
            return pair("operator", daemon.operatorAddress()) + " " + pair("link", daemon.linkAddress());
        }

        @Override
        public CompletableFuture<Void> drain() {
            return daemon.drain();
        }

        @Override
        public CompletableFuture<Void> closed() {
            return daemon.closed();
        }

        @Override
        public void close() {
            daemon.close();
        }
    }
}
