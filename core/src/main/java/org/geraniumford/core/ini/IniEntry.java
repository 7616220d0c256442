package org.geraniumford.core.ini;

import static java.util.Objects.requireNonNull;

/**
 * A line that sets a key.
 *
 * @param section the name of the section that contains the key
 * @param key the key
 * @param value the value without surrounding spaces; empty if the line has none
 * @param line the line in the file, from 1
 */
public record IniEntry(String section, String key, String value, int line) {
    /** Checks the components. */
    public IniEntry {
        requireNonNull(section, "section is null");
        requireNonNull(key, "key is null");
        requireNonNull(value, "value is null");
    }
}
