package org.geraniumford.daemon.command;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.geraniumford.daemon.settings.EntrySettings;
import org.geraniumford.daemon.settings.SettingsLoader;
import org.geraniumford.daemon.settings.SidecarSettings;

/** The subcommands in the order of the help text. */
final class Commands {
    private Commands() {}

    static List<Command> all() {
        return List.of(
                new DaemonCommand<>(
                        SettingsLoader.ENTRY,
                        "Serves callers on an entry host.",
                        EntrySettings::drainTimeout,
                        settings -> missing()),
                new DaemonCommand<>(
                        SettingsLoader.SIDECAR,
                        "Stands in front of one backend server on its host.",
                        SidecarSettings::drainTimeout,
                        settings -> missing()),
                new StatusCommand(),
                new ExplainCommand(),
                new DrainCommand(),
                new SettingsCommand());
    }

    private static CompletableFuture<RunningDaemon> missing() {
        return CompletableFuture.failedFuture(new IllegalStateException("not part of this build"));
    }
}
