package org.geraniumford.core.configuration;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The row of the table service that says which configuration is in force.
 *
 * @param version the configuration's version, at least 1
 * @param commitId names the change that led to it, unique across all operators
 * @param digest the digest of the merged text, which is a blob of the object store
 * @param manifestDigest the digest of the list of files, which is a blob of the object store
 */
public record ConfigurationHead(long version, String commitId, String digest, String manifestDigest) {
    /** The table that holds the row. */
    public static final String TABLE = "configuration";

    /** The row's name. */
    public static final String ROW = "head";

    private static final String SECTION = "head";

    /** Checks the components. */
    public ConfigurationHead {
        requireNonNull(commitId, "commitId is null");
        requireNonNull(digest, "digest is null");
        requireNonNull(manifestDigest, "manifestDigest is null");
        if (version < 1) {
            throw new IllegalArgumentException("version is " + version + ", not at least 1");
        }
    }

    // -- construction

    /**
     * Reads the row's text.
     *
     * @param text what {@link #encode} wrote
     * @return the head, or empty if the text is not one
     */
    public static Optional<ConfigurationHead> decode(String text) {
        IniReader.Result result = IniReader.read(ROW, text);
        return Optional.ofNullable(result.sections().sections().get(SECTION))
                .filter(section -> result.problems().isEmpty())
                .flatMap(section -> decode(section.values()));
    }

    private static Optional<ConfigurationHead> decode(SortedMap<String, IniSections.Value> values) {
        Map<String, String> texts = values.entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, entry -> entry.getValue().text()));
        try {
            return Optional.of(new ConfigurationHead(
                    Long.parseLong(texts.getOrDefault("version", "")),
                    texts.get("commit"),
                    texts.get("digest"),
                    texts.get("manifest")));
        } catch (IllegalArgumentException | NullPointerException e) {
            return Optional.empty();
        }
    }

    // -- queries

    /**
     * Returns the text to keep in the row.
     *
     * @return the components in INI
     */
    public String encode() {
        SortedMap<String, String> texts = new TreeMap<>(Map.of(
                "version", Long.toString(version),
                "commit", commitId,
                "digest", digest,
                "manifest", manifestDigest));
        return texts.entrySet().stream()
                .map(entry -> entry.getKey() + " = " + entry.getValue() + "\n")
                .collect(Collectors.joining("", "[" + SECTION + "]\n", ""));
    }
}
