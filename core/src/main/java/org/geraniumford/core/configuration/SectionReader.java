package org.geraniumford.core.configuration;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Reads the typed values of a section and reports invalid ones. Each method returns a value even after a problem, so
 * that parsing continues and finds all problems.
 */
final class SectionReader {
    private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");

    private final String header;
    private final IniSections.Section section;
    private final Consumer<ConfigurationProblem> problems;

    SectionReader(String header, IniSections.Section section, Consumer<ConfigurationProblem> problems) {
        this.header = header;
        this.section = section;
        this.problems = problems;
    }

    // -- queries

    String text(String key, String defaultValue) {
        return value(key).map(IniSections.Value::text).orElse(defaultValue);
    }

    String requiredText(String key) {
        Optional<String> text = value(key).map(IniSections.Value::text).filter(candidate -> !candidate.isEmpty());
        if (text.isEmpty()) {
            report(key, "a value is required");
        }
        return text.orElse("");
    }

    /** Returns the number, the default if the key is not set, or the minimum after a problem. */
    int number(String key, int defaultValue, int min, int max) {
        return value(key).map(value -> parseNumber(key, value.text(), min, max)).orElse(defaultValue);
    }

    /** Returns the names in a comma-separated list; empty if the key is not set. */
    Set<String> names(String key) {
        return value(key).stream()
                .flatMap(value -> Arrays.stream(value.text().split(",", -1)))
                .map(String::strip)
                .filter(name -> !name.isEmpty())
                .collect(Collectors.toUnmodifiableSet());
    }

    Set<String> digests(String key) {
        Set<String> digests = names(key);
        digests.stream()
                .filter(digest -> !DIGEST.matcher(digest).matches())
                .findFirst()
                .ifPresent(digest -> report(key, "each digest has 64 hexadecimal digits in lower case"));
        return digests;
    }

    // -- commands

    void reportUnknownKeys(List<String> known) {
        section.values().keySet().stream()
                .filter(key -> !known.contains(key))
                .forEach(key -> report(key, "unknown key; allowed are " + String.join(", ", known)));
    }

    /** Reports each unknown name in a comma-separated list; {@code kind} is the kind of item named. */
    void reportUnknownNames(String key, Set<String> known, String kind) {
        names(key).stream()
                .filter(name -> !known.contains(name))
                .sorted()
                .forEach(name -> report(key, "no " + kind + " is named " + name));
    }

    /** Reports a problem at the key's line, or at the section's header if the key is not set. */
    void report(String key, String message) {
        Position position = value(key).map(IniSections.Value::position).orElse(section.position());
        problems.accept(ConfigurationProblem.of(position, header, key, message));
    }

    private Optional<IniSections.Value> value(String key) {
        return Optional.ofNullable(section.values().get(key));
    }

    private int parseNumber(String key, String text, int min, int max) {
        try {
            int number = Integer.parseInt(text);
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            report(key, "not a whole number; allowed is " + min + " to " + max);
            return min;
        }
        report(key, "out of range; allowed is " + min + " to " + max);
        return min;
    }
}
