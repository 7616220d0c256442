package org.geraniumford.core.configuration;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * The change from one merged text to another. In its INI encoding, {@code [-NAME]} removes a section, and
 * {@code [+NAME]} adds or changes one; under {@code [+NAME]}, {@code +KEY = VALUE} sets a key and {@code -KEY =}
 * removes one.
 *
 * @param sections the values of each added, changed or removed section, by prefixed header and then by prefixed key;
 *     both maps are sorted
 */
public record IniDelta(SortedMap<String, SortedMap<String, String>> sections) {
    private static final String ADD_PREFIX = "+";
    private static final String REMOVE_PREFIX = "-";

    /** Copies the map. */
    public IniDelta {
        sections = Collections.unmodifiableSortedMap(new TreeMap<>(sections));
    }

    // -- construction

    /**
     * Computes the change between two merged folders.
     *
     * @param before the sections before the change
     * @param after the sections after the change
     * @return the delta that turns {@code before} into {@code after}
     */
    public static IniDelta between(IniSections before, IniSections after) {
        SortedMap<String, SortedMap<String, String>> sections = new TreeMap<>();
        union(before.sections().keySet(), after.sections().keySet()).forEach(name -> {
            IniSections.Section previous = before.sections().get(name);
            IniSections.Section next = after.sections().get(name);
            if (next == null) {
                sections.put(REMOVE_PREFIX + name, new TreeMap<>());
            } else {
                SortedMap<String, String> lines = changedLines(valuesByKey(previous), valuesByKey(next));
                if (previous == null || !lines.isEmpty()) {
                    sections.put(ADD_PREFIX + name, lines);
                }
            }
        });
        return new IniDelta(sections);
    }

    /**
     * Decodes a delta from the object store or from a peer.
     *
     * @param text a text in the format of {@link #encode}
     * @return the delta, or empty if the text is not valid
     */
    public static Optional<IniDelta> decode(String text) {
        IniReader.Result result = IniReader.read("delta", text);
        SortedMap<String, SortedMap<String, String>> sections = new TreeMap<>();
        result.sections().sections().forEach((name, section) -> sections.put(name, valuesByKey(section)));
        return Optional.of(new IniDelta(sections))
                .filter(delta -> result.problems().isEmpty())
                .filter(IniDelta::isWellFormed);
    }

    // -- queries

    /**
     * Encodes the delta for the object store and for peers.
     *
     * @return the changes as INI text
     */
    public String encode() {
        return sections.entrySet().stream()
                .map(entry -> IniSectionCodec.encode(entry.getKey(), entry.getValue()))
                .collect(Collectors.joining());
    }

    /**
     * Applies the change to a merged text.
     *
     * @param text the text before the change
     * @return the canonical text after the change
     */
    public String applyTo(String text) {
        IniSections before = IniReader.read("merged", text).sections();
        SortedMap<String, IniSections.Section> after = new TreeMap<>(before.sections());
        sections.forEach((header, lines) -> {
            String name = header.substring(1);
            if (header.startsWith(REMOVE_PREFIX)) {
                after.remove(name);
            } else {
                after.put(name, applyLines(before.sections().get(name), lines));
            }
        });
        return new IniSections(after).text();
    }

    // -- helpers

    private boolean isWellFormed() {
        return sections.entrySet().stream()
                .allMatch(entry -> hasPrefix(entry.getKey())
                        && entry.getValue().keySet().stream().allMatch(IniDelta::hasPrefix));
    }

    private static boolean hasPrefix(String text) {
        return text.startsWith(ADD_PREFIX) || text.startsWith(REMOVE_PREFIX);
    }

    private static SortedMap<String, String> changedLines(Map<String, String> before, Map<String, String> after) {
        SortedMap<String, String> lines = new TreeMap<>();
        union(before.keySet(), after.keySet()).stream()
                .filter(key -> !Objects.equals(before.get(key), after.get(key)))
                .forEach(key -> lines.put(
                        (after.containsKey(key) ? ADD_PREFIX : REMOVE_PREFIX) + key, after.getOrDefault(key, "")));
        return lines;
    }

    private static IniSections.Section applyLines(IniSections.Section before, SortedMap<String, String> lines) {
        // applyTo returns only text, so the positions of the changed values do not matter.
        Position position = new Position("merged", 0);
        SortedMap<String, IniSections.Value> values = before == null ? new TreeMap<>() : new TreeMap<>(before.values());
        lines.forEach((prefixedKey, text) -> {
            String key = prefixedKey.substring(1);
            if (prefixedKey.startsWith(ADD_PREFIX)) {
                values.put(key, new IniSections.Value(text, position));
            } else {
                values.remove(key);
            }
        });
        return new IniSections.Section(position, values);
    }

    private static SortedMap<String, String> valuesByKey(IniSections.Section section) {
        SortedMap<String, String> texts = new TreeMap<>();
        if (section != null) {
            section.values().forEach((key, value) -> texts.put(key, value.text()));
        }
        return texts;
    }

    private static Set<String> union(Set<String> left, Set<String> right) {
        return List.of(left, right).stream().flatMap(Set::stream).collect(Collectors.toCollection(TreeSet::new));
    }
}
