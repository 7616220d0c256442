package org.geraniumford.core.configuration;

import static java.util.Objects.requireNonNull;

/**
 * A position in the operators' folder.
 *
 * @param file the file's name
 * @param line the line, from 1; 0 for the whole file
 */
public record Position(String file, int line) {
    /** Checks the components. */
    public Position {
        requireNonNull(file, "file is null");
    }
}
