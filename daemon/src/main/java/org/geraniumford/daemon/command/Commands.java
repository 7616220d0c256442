package org.geraniumford.daemon.command;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.geraniumford.daemon.process.EntryProcess;
import org.geraniumford.daemon.settings.EntrySettings;
import org.geraniumford.daemon.settings.SettingsLoader;
import org.geraniumford.daemon.settings.SidecarSettings;
import org.geraniumford.daemon.sidecar.SidecarDaemon;

/** Creates the subcommands, in the order of the help text. */
final class Commands {
    private Commands() {}

    static List<Command> all() {
        return List.of(
                new DaemonCommand<>(
                        SettingsLoader.ENTRY,
                        "Serves callers on an entry host.",
                        EntrySettings::drainTimeout,
                        settings -> EntryProcess.start(settings).thenApply(RunningEntry::new)),
                new DaemonCommand<>(
                        SettingsLoader.SIDECAR,
                        "Connects one backend server on its host to the entries.",
                        SidecarSettings::drainTimeout,
                        settings -> SidecarDaemon.start(settings).thenApply(RunningSidecar::new)),
                new ConfigCommand(),
                new StatusCommand(),
                new ExplainCommand(),
                new DrainCommand(),
                new LoadCommand(),
                new SettingsCommand());
    }

    private static String formatAddress(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ':' + address.getPort();
    }

    private record RunningEntry(EntryProcess process) implements RunningDaemon {
        @Override
        public String formatAddresses() {
            return "caller=" + formatAddress(process.callerAddress())
                    + " operator=" + formatAddress(process.operatorAddress())
                    + " link=" + formatAddress(process.linkAddress());
        }

        @Override
        public CompletableFuture<Void> drain() {
            return process.drain();
        }

        @Override
        public CompletableFuture<Void> closed() {
            return process.closed();
        }

        @Override
        public void close() {
            process.close();
        }
    }

    private record RunningSidecar(SidecarDaemon daemon) implements RunningDaemon {
        @Override
        public String formatAddresses() {
            return "operator=" + formatAddress(daemon.operatorAddress()) + " link="
                    + formatAddress(daemon.linkAddress());
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
