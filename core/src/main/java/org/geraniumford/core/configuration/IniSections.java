package org.geraniumford.core.configuration;

import static java.util.Objects.requireNonNull;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Sections of keys and values, each with its place. Sorted by name, so that equal contents have equal text.
 *
 * @param sections the sections by name
 */
public record IniSections(SortedMap<String, Section> sections) {
    private static final IniSections EMPTY = new IniSections(new TreeMap<>());

    /** Copies the map. */
    public IniSections {
        sections = Collections.unmodifiableSortedMap(new TreeMap<>(sections));
    }

    // -- construction

    /**
     * Returns what an empty folder holds.
     *
     * @return no sections
     */
    public static IniSections empty() {
        return EMPTY;
    }

    // -- combinators

    /**
     * Lays other sections over these.
     *
     * @param later the sections whose values win, key by key
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
     * @return sections and keys in sorted order, in INI
     */
    public String text() {
        return sections.entrySet().stream()
                .map(entry -> "[" + entry.getKey() + "]\n" + entry.getValue().text())
                .collect(Collectors.joining("\n"));
    }

    /**
     * One section.
     *
     * @param position where its header stands first
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
     * One value.
     *
     * @param text the text after the key
     * @param position where it stands
     */
    public record Value(String text, Position position) {
        /** Checks the components. */
        public Value {
            requireNonNull(text, "text is null");
            requireNonNull(position, "position is null");
        }
    }
}
