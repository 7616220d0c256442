package org.geraniumford.daemon.command;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** One subcommand. */
public interface Command {
    /**
     * Returns the word that selects the command.
     *
     * @return the name in lower case
     */
    String name();

    /**
     * Returns the arguments after the options, for the help text.
     *
     * @return the arguments' names in upper case; empty if there are none
     */
    String arguments();

    /**
     * Says what the command does.
     *
     * @return one sentence
     */
    String summary();

    /**
     * Declares the command's options.
     *
     * @param parser where to
     */
    void declareOptions(OptionParser parser);

    /**
     * Runs the command.
     *
     * @param options the parsed options and arguments
     * @param console where to write
     * @return how it ended
     * @throws CommandException if it cannot do what was asked
     */
    ExitCode run(OptionSet options, Console console) throws CommandException;
}
