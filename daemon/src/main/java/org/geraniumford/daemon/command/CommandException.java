package org.geraniumford.daemon.command;

import static java.util.Objects.requireNonNull;

/** Signals that a command failed. Records no stack trace, because only the message is printed to the user. */
public final class CommandException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ExitCode code;

    /**
     * Creates an exception.
     *
     * @param code the exit code of the program
     * @param message what is wrong and where
     */
    public CommandException(ExitCode code, String message) {
        super(requireNonNull(message, "message is null"), null, false, false);
        this.code = requireNonNull(code, "code is null");
    }

    // -- construction

    /**
     * Creates an exception for an invalid command line, or for an invalid file named on it.
     *
     * @param message what is wrong and where
     * @return an exception with {@link ExitCode#USAGE}
     */
    public static CommandException usage(String message) {
        return new CommandException(ExitCode.USAGE, message);
    }

    /**
     * Creates an exception for a valid command that failed.
     *
     * @param message what is wrong and where
     * @return an exception with {@link ExitCode#FAILED}
     */
    public static CommandException failed(String message) {
        return new CommandException(ExitCode.FAILED, message);
    }

    // -- queries

    /**
     * Returns the exit code of the program.
     *
     * @return the exit code
     */
    public ExitCode code() {
        return code;
    }
}
