package org.geraniumford.daemon.command;

import java.util.List;
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
                        Daemons::entry),
                new DaemonCommand<>(
                        SettingsLoader.SIDECAR,
                        "Stands in front of one backend server on its host.",
                        SidecarSettings::drainTimeout,
                        Daemons::sidecar),
                new StatusCommand(),
                new ExplainCommand(),
                new DrainCommand(),
                new SettingsCommand());
    }
}
