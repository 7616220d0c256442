package org.geraniumford.daemon.command;

import static java.util.Objects.requireNonNull;

/** The failure of a command, with the text for the person who called it. */
public final class CommandException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ExitCode code;

    /**
     * Creates a failure.
     *
     * @param code how the process ends
     * @param message what is wrong and where
     */
    public CommandException(ExitCode code, String message) {
        super(requireNonNull(message, "message is null"), null, false, false);
        this.code = requireNonNull(code, "code is null");
    }

    // -- construction

    /**
     * Creates a failure of the command line itself.
     *
     * @param message what is wrong
     * @return a failure with {@link ExitCode#USAGE}
     */
    public static CommandException usage(String message) {
        return new CommandException(ExitCode.USAGE, message);
    }

    /**
     * Creates a failure of the work.
     *
     * @param message what is wrong and where
     * @return a failure with {@link ExitCode#FAILED}
     */
    public static CommandException failed(String message) {
        return new CommandException(ExitCode.FAILED, message);
    }

    // -- queries

    /**
     * Returns how the process ends.
     *
     * @return the exit code
     */
    public ExitCode code() {
        return code;
    }
}
