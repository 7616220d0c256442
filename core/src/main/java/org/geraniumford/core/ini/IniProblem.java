package org.geraniumford.core.ini;

import static java.util.Objects.requireNonNull;

/**
 * A problem in a file.
 *
 * @param file the file's name
 * @param line the line, from 1; 0 if the problem concerns no single line
 * @param qualifiedKey the section and key, as {@code [section] key}; empty if the problem concerns no key
 * @param message a description of the problem and of what is allowed
 */
public record IniProblem(String file, int line, String qualifiedKey, String message) {
    /** Checks the components. */
    public IniProblem {
        requireNonNull(file, "file is null");
        requireNonNull(qualifiedKey, "qualifiedKey is null");
        requireNonNull(message, "message is null");
    }

    // -- construction

    /**
     * Creates a problem that concerns one line.
     *
     * @param file the file's name
     * @param line the line, from 1
     * @param message a description of the problem
     * @return a problem without a section and key
     */
    public static IniProblem ofLine(String file, int line, String message) {
        return new IniProblem(file, line, "", message);
    }

    /**
     * Creates a problem that concerns one entry.
     *
     * @param file the file's name
     * @param entry the entry
     * @param message a description of the problem and of what is allowed
     * @return a problem with the entry's line, section and key
     */
    public static IniProblem ofEntry(String file, IniEntry entry, String message) {
        return new IniProblem(file, entry.line(), qualifiedKeyOf(entry.section(), entry.key()), message);
    }

    /**
     * Creates a problem that concerns a key that is not in the file.
     *
     * @param file the file's name
     * @param section the section's name
     * @param key the key
     * @param message a description of the problem and of what is allowed
     * @return a problem without a line
     */
    public static IniProblem ofMissing(String file, String section, String key, String message) {
        return new IniProblem(file, 0, qualifiedKeyOf(section, key), message);
    }

    private static String qualifiedKeyOf(String section, String key) {
        return "[" + section + "] " + key;
    }

    // -- queries

    /**
     * Returns the problem as one line of text for operators.
     *
     * @return {@code file:line: [section] key: message}; components that are empty or 0 are left out
     */
    @Override
    public String toString() {
        String location = line > 0 ? file + ":" + line : file;
        return qualifiedKey.isEmpty() ? location + ": " + message : location + ": " + qualifiedKey + ": " + message;
    }
}
