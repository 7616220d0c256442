package org.geraniumford.core.configuration;

import static java.util.Objects.requireNonNull;

/**
 * A problem in the operators' folder.
 *
 * @param file the file's name
 * @param line the line, from 1; 0 if the problem concerns no single line
 * @param section the section's header; empty if the problem is outside of sections
 * @param key the key; empty if the problem concerns no single key
 * @param message a description of the problem and of what is allowed
 */
public record ConfigurationProblem(String file, int line, String section, String key, String message) {
    /** Checks the components. */
    public ConfigurationProblem {
        requireNonNull(file, "file is null");
        requireNonNull(section, "section is null");
        requireNonNull(key, "key is null");
        requireNonNull(message, "message is null");
    }

    static ConfigurationProblem of(Position position, String section, String key, String message) {
        return new ConfigurationProblem(position.file(), position.line(), section, key, message);
    }

    // -- queries

    /**
     * Returns the problem as one line of text for operators.
     *
     * @return the file, line, section, key and message; components that are empty or 0 are left out
     */
    @Override
    public String toString() {
        String location = line > 0 ? file + ":" + line : file;
        String header = section.isEmpty() ? "" : " [" + section + "]";
        String name = key.isEmpty() ? "" : " " + key;
        return location + header + name + ": " + message;
    }
}
