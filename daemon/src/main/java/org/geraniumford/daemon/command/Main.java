package org.geraniumford.daemon.command;

import java.util.List;
import java.util.Optional;

/** The program's entry point. */
public final class Main {
    private static final String UNPACKAGED_VERSION = "development";

    private Main() {}

    /**
     * Runs a command and exits with its exit code.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        Console console = new Console(System.out, System.err);
        ExitCode code = commandLine().run(List.of(arguments), console);
        System.exit(code.status());
    }

    static CommandLine commandLine() {
        String version = Optional.ofNullable(Main.class.getPackage().getImplementationVersion())
                .orElse(UNPACKAGED_VERSION);
        return CommandLine.of(version, Commands.all());
    }
}
