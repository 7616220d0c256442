package org.geraniumford.daemon.command;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.geraniumford.daemon.settings.SettingsPage;

/** Prints the reference page of all settings. */
final class SettingsCommand implements Command {
    @Override
    public String name() {
        return "settings";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "Prints every settings key with its unit, default and range (Markdown).";
    }

    @Override
    public void declareOptions(OptionParser parser) {}

    @Override
    public ExitCode run(OptionSet options, Console console) {
        console.out().print(SettingsPage.render());
        console.out().flush();
        return ExitCode.OK;
    }
}
