package org.geraniumford.core.configuration;

import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Encodes and decodes a single INI section, as stored in rows and objects. */
final class IniSectionCodec {
    private IniSectionCodec() {}

    // -- queries

    /** Returns the section as INI text, with its keys in sorted order. */
    static String encode(String section, Map<String, String> values) {
        return new TreeMap<>(values)
                .entrySet().stream()
                        .map(entry -> entry.getKey() + " = " + entry.getValue() + "\n")
                        .collect(Collectors.joining("", "[" + section + "]\n", ""));
    }

    /** Returns the values of the named section by key; empty if the text has a problem or lacks the section. */
    static Optional<SortedMap<String, String>> decode(String section, String text) {
        IniReader.Result result = IniReader.read(section, text);
        return Optional.ofNullable(result.sections().sections().get(section))
                .filter(decoded -> result.problems().isEmpty())
                .map(decoded -> valuesByKey(decoded.values()));
    }

    private static SortedMap<String, String> valuesByKey(SortedMap<String, IniSections.Value> values) {
        SortedMap<String, String> texts = new TreeMap<>();
        values.forEach((key, value) -> texts.put(key, value.text()));
        return texts;
    }
}
