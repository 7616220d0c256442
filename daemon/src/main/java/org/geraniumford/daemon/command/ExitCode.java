package org.geraniumford.daemon.command;

/** The exit codes of the program. */
public enum ExitCode {
    /** The command succeeded. */
    OK(0),
    /** The command line was valid, but the command failed. */
    FAILED(1),
    /** The command line, or a file named on it, is invalid. */
    USAGE(2);

    private final int status;

    ExitCode(int status) {
        this.status = status;
    }

    /**
     * Returns the exit status of the process.
     *
     * @return 0 to 2
     */
    public int status() {
        return status;
    }
}
