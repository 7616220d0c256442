package org.geraniumford.daemon.command;

/** How a command ended. */
public enum ExitCode {
    /** The command did what was asked. */
    OK(0),
    /** The command failed. */
    FAILED(1),
    /** The command line or a file named on it cannot be understood. */
    USAGE(2);

    private final int status;

    ExitCode(int status) {
        this.status = status;
    }

    /**
     * Returns the process's exit status.
     *
     * @return 0 to 2
     */
    public int status() {
        return status;
    }
}
