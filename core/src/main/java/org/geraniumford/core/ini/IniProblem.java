package org.geraniumford.core.ini;

import static java.util.Objects.requireNonNull;

/**
 * Something wrong in a file.
 *
 * @param file the file's name
 * @param line the line, from 1; 0 if no single line is at fault
 * @param qualifiedKey the section and key, as {@code [section] key}; empty if none is at fault
 * @param message what is wrong and what is allowed
 */
public record IniProblem(String file, int line, String qualifiedKey, String message) {
    /** Checks the components. */
    public IniProblem {
        requireNonNull(file, "file is null");
        requireNonNull(qualifiedKey, "place is null");
        requireNonNull(message, "message is null");
    }

    // -- construction

    /**
     * Creates a problem of one line.
     *
     * @param file the file's name
     * @param line the line, from 1
     * @param message what is wrong
     * @return a problem without a section and key
     */
    public static IniProblem ofLine(String file, int line, String message) {
        return new IniProblem(file, line, "", message);
    }

    /**
     * Creates a problem of one entry.
     *
     * @param file the file's name
     * @param entry the entry
     * @param message what is wrong and what is allowed
     * @return a problem with the entry's line, section and key
     */
    public static IniProblem ofEntry(String file, IniEntry entry, String message) {
        return new IniProblem(file, entry.line(), qualifiedKeyOf(entry.section(), entry.key()), message);
    }

    /**
     * Creates a problem of a key that is not in the file.
     *
     * @param file the file's name
     * @param section the section
     * @param key the key
     * @param message what is wrong and what is allowed
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
     * Returns the problem as one line for a person.
     *
     * @return {@code file:line: [section] key: message}, without the parts that are not known
     */
    @Override
    public String toString() {
        String where = line > 0 ? file + ":" + line : file;
        return qualifiedKey.isEmpty() ? where + ": " + message : where + ": " + qualifiedKey + ": " + message;
    }
}
