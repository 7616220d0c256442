package org.geraniumford.daemon.command;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Selects the subcommand, parses its options, and prints each problem on one line of standard error. */
public final class CommandLine {
    private static final String PROGRAM = "geraniumford";
    private static final String HELP = "help";

    private final String version;
    private final List<Command> commands;

    private CommandLine(String version, List<Command> commands) {
        this.version = version;
        this.commands = List.copyOf(commands);
    }

    // -- construction

    /**
     * Creates a command line.
     *
     * @param version the program's version, printed by {@code --version}
     * @param commands the subcommands, in the order of the help text
     * @return a command line
     */
    public static CommandLine of(String version, List<Command> commands) {
        return new CommandLine(version, commands);
    }

    // -- commands

    /**
     * Runs the command that the arguments name.
     *
     * @param arguments the command line, without the program's name
     * @param console receives the output and the error messages
     * @return the exit code of the program
     */
    public ExitCode run(List<String> arguments, Console console) {
        try {
            return dispatch(arguments, console);
        } catch (CommandException e) {
            e.getMessage().lines().forEach(line -> console.err().println(PROGRAM + ": " + line));
            return e.code();
        }
    }

    private ExitCode dispatch(List<String> arguments, Console console) throws CommandException {
        String commandName = arguments.isEmpty() ? "" : arguments.get(0);
        switch (commandName) {
            case "--help", "-h", HELP -> {
                console.out().println(overview());
                return ExitCode.OK;
            }
            case "--version" -> {
                console.out().println(PROGRAM + " " + version);
                return ExitCode.OK;
            }
            case "" -> throw CommandException.usage("no command given; see --help");
            default -> {
                Command command = find(commandName)
                        .orElseThrow(() -> CommandException.usage("unknown command " + commandName + "; see --help"));
                return runCommand(command, arguments.subList(1, arguments.size()), console);
            }
        }
    }

    private static ExitCode runCommand(Command command, List<String> arguments, Console console)
            throws CommandException {
        OptionParser parser = new OptionParser();
        parser.acceptsAll(Arrays.asList(HELP, "h"), "print this help").forHelp();
        command.declareOptions(parser);
        OptionSet options = parse(command, parser, arguments);
        if (options.has(HELP)) {
            printHelp(command, parser, console);
            return ExitCode.OK;
        }
        return command.run(options, console);
    }

    /** Parses the arguments. Converts all values now, so that an invalid one is reported before the command starts. */
    private static OptionSet parse(Command command, OptionParser parser, List<String> arguments)
            throws CommandException {
        try {
            OptionSet options = parser.parse(arguments.toArray(String[]::new));
            options.specs().forEach(options::valuesOf);
            return options;
        } catch (OptionException e) {
            throw CommandException.usage(command.name() + ": " + e.getMessage() + "; see --help");
        }
    }

    // -- help

    private String overview() {
        String rows = commands.stream()
                .map(command -> "  %-28s %s".formatted(synopsis(command), command.summary()))
                .collect(Collectors.joining("\n"));
        return "usage: " + PROGRAM + " COMMAND [OPTIONS] [ARGUMENTS]\n\n" + rows
                + "\n\n  COMMAND --help prints a command's options; --version prints the version."
                + "\n  Exit status: 0 done, 1 failed, 2 the command line or a file on it cannot be understood.";
    }

    private static void printHelp(Command command, OptionParser parser, Console console) {
        console.out().println("usage: " + PROGRAM + " " + synopsis(command) + " [OPTIONS]");
        console.out().println(command.summary());
        console.out().println();
        try {
            parser.printHelpOn(console.out());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String synopsis(Command command) {
        return command.arguments().isEmpty() ? command.name() : command.name() + " " + command.arguments();
    }

    private Optional<Command> find(String name) {
        return commands.stream().filter(command -> command.name().equals(name)).findFirst();
    }
}
