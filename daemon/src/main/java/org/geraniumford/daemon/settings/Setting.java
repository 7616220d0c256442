package org.geraniumford.daemon.settings;

import static java.util.Objects.requireNonNull;

import java.util.Optional;

/**
 * A key of a settings file. The loader, its error messages and the settings page are derived from it.
 *
 * @param <T> the type of the value
 * @param section the section that holds the key
 * @param name the key
 * @param type the unit, the allowed values and their parser
 * @param defaultText the value if the key is not set, spelled as in a file; empty if the key must be set
 * @param description the meaning of the key, for the settings page
 */
public record Setting<T>(
        String section, String name, SettingType<T> type, Optional<String> defaultText, String description) {
    /** Checks the components. */
    public Setting {
        requireNonNull(section, "section is null");
        requireNonNull(name, "name is null");
        requireNonNull(type, "type is null");
        requireNonNull(defaultText, "defaultText is null");
        requireNonNull(description, "description is null");
    }

    // -- construction

    /**
     * Creates a setting that every file must contain.
     *
     * @param section the section that holds the key
     * @param name the key
     * @param type the unit, the allowed values and their parser
     * @param description the meaning of the key, for the settings page
     * @param <T> the type of the value
     * @return a setting without a default
     */
    public static <T> Setting<T> required(String section, String name, SettingType<T> type, String description) {
        return new Setting<>(section, name, type, Optional.empty(), description);
    }

    /**
     * Creates a setting with a default.
     *
     * @param section the section that holds the key
     * @param name the key
     * @param type the unit, the allowed values and their parser
     * @param defaultText the value if the key is not set, spelled as in a file
     * @param description the meaning of the key, for the settings page
     * @param <T> the type of the value
     * @return a setting that a file may omit
     */
    public static <T> Setting<T> optional(
            String section, String name, SettingType<T> type, String defaultText, String description) {
        return new Setting<>(section, name, type, Optional.of(defaultText), description);
    }

    // -- queries

    /**
     * Parses a value.
     *
     * @param text the text from the file
     * @return the value, or empty if it is not allowed
     */
    public Optional<T> parse(String text) {
        try {
            return Optional.of(type.parser().apply(text));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
