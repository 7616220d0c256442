package org.geraniumford.daemon.command;

/** The exit codes of the program. */
public enum ExitCode {
    /** The command succeeded. */
    OK(0),
    /** The command line was valid, but the command failed or found problems in the files of a configuration folder. */
    FAILED(1),
    /** The command line is invalid, or a settings file, scenario or folder named on it is invalid or cannot be read. */
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
