package org.geraniumford.core.configuration;

import static java.util.Objects.requireNonNull;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * INI sections of keys and values. Each section and value has its position in the operators' folder. Sections and keys
 * are sorted, so that equal contents have equal text.
 *
 * @param sections the sections by header, which is the text between the brackets
 */
public record IniSections(SortedMap<String, Section> sections) {
    private static final IniSections EMPTY = new IniSections(new TreeMap<>());

    /** Copies the map. */
    public IniSections {
        sections = Collections.unmodifiableSortedMap(new TreeMap<>(sections));
    }

    // -- construction

    /**
     * Returns the sections of an empty folder.
     *
     * @return an instance without sections
     */
    public static IniSections empty() {
        return EMPTY;
    }

    // -- combinators

    /**
     * Merges later sections into these. Where both set a key, the later value replaces the earlier one.
     *
     * @param later the sections that take precedence
     * @return the sections and keys of both
     */
    public IniSections merge(IniSections later) {
        SortedMap<String, Section> merged = new TreeMap<>(sections);
        later.sections.forEach((name, section) -> merged.merge(name, section, Section::merge));
        return new IniSections(merged);
    }

    // -- queries

    /**
     * Returns the canonical text.
     *
     * @return the sections and keys in sorted order as INI text
     */
    public String text() {
        return sections.entrySet().stream()
                .map(entry -> "[" + entry.getKey() + "]\n" + entry.getValue().text())
                .collect(Collectors.joining("\n"));
    }

    /**
     * The keys and values of one section.
     *
     * @param position the position of its first header
     * @param values the values by key
     */
    public record Section(Position position, SortedMap<String, Value> values) {
        /** Checks the components and copies the map. */
        public Section {
            requireNonNull(position, "position is null");
            values = Collections.unmodifiableSortedMap(new TreeMap<>(values));
        }

        Section merge(Section later) {
            SortedMap<String, Value> merged = new TreeMap<>(values);
            merged.putAll(later.values);
            return new Section(position, merged);
        }

        private String text() {
            return values.entrySet().stream().map(Section::line).collect(Collectors.joining());
        }

        private static String line(Map.Entry<String, Value> entry) {
            return entry.getKey() + " = " + entry.getValue().text() + "\n";
        }
    }

    /**
     * The value of one key.
     *
     * @param text the text after the key and the separator
     * @param position the position of its line
     */
    public record Value(String text, Position position) {
        /** Checks the components. */
        public Value {
            requireNonNull(text, "text is null");
            requireNonNull(position, "position is null");
        }
    }
}
