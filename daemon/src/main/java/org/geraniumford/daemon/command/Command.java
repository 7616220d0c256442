package org.geraniumford.daemon.command;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** A subcommand of the program. */
public interface Command {
    /**
     * Returns the name that selects the command on the command line.
     *
     * @return the name in lower case
     */
    String name();

    /**
     * Returns the synopsis of the command's arguments for the help text.
     *
     * @return the arguments as they follow the command's name, placeholders in upper case; empty if there are none
     */
    String arguments();

    /**
     * Returns a description of the command for the help text.
     *
     * @return one sentence
     */
    String summary();

    /**
     * Declares the command's options.
     *
     * @param parser receives the declarations
     */
    void declareOptions(OptionParser parser);

    /**
     * Runs the command.
     *
     * @param options the parsed options and arguments
     * @param console receives the command's output
     * @return the exit code of the program
     * @throws CommandException if an argument is invalid or the command fails
     */
    ExitCode run(OptionSet options, Console console) throws CommandException;
}
