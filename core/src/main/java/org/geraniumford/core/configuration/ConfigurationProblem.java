package org.geraniumford.core.configuration;

import static java.util.Objects.requireNonNull;

/**
 * One thing that is wrong with the operators' folder.
 *
 * @param file the file's name
 * @param line the line, from 1; 0 if no single line is wrong
 * @param section the section; empty if the problem is outside sections
 * @param key the key; empty if the problem is not with one key
 * @param message what is wrong and what is allowed
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
     * Returns the problem as one line for a person.
     *
     * @return file, line, section, key and message
     */
    @Override
    public String toString() {
        String place = line > 0 ? file + ":" + line : file;
        String header = section.isEmpty() ? "" : " [" + section + "]";
        String name = key.isEmpty() ? "" : " " + key;
        return place + header + name + ": " + message;
    }
}
