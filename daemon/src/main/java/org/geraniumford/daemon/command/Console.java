package org.geraniumford.daemon.command;

import static java.util.Objects.requireNonNull;

import java.io.PrintStream;

/**
 * The output streams of a command.
 *
 * @param out receives results
 * @param err receives errors and progress messages
 */
public record Console(PrintStream out, PrintStream err) {
    /** Checks the components. */
    public Console {
        requireNonNull(out, "out is null");
        requireNonNull(err, "err is null");
    }
}
