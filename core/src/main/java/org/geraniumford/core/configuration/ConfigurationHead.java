package org.geraniumford.core.configuration;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.Optional;

/**
 * The row of the table service that says which configuration is in force. A copy stays in the row of its version.
 *
 * @param version the configuration's version, at least 1
 * @param commitId names the change that led to it, unique across all operators
 * @param digest the digest of the merged text, which is a blob of the object store
 * @param manifestDigest the digest of the {@link FolderManifest}, which is a blob of the object store
 * @param deltaDigest the digest of the {@link IniDelta} from the version before, which is a blob of the object store;
 *     empty if there is none
 */
public record ConfigurationHead(
        long version, String commitId, String digest, String manifestDigest, String deltaDigest) {
    /** The table that holds the row. */
    public static final String TABLE = "configuration";

    /** The row's name. */
    public static final String ROW = "head";

    private static final String HISTORY_ROW_FORMAT = "version-%012d";

    /** Checks the components. */
    public ConfigurationHead {
        requireNonNull(commitId, "commitId is null");
        requireNonNull(digest, "digest is null");
        requireNonNull(manifestDigest, "manifestDigest is null");
        requireNonNull(deltaDigest, "deltaDigest is null");
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
        return IniSectionCodec.decode(ROW, text).flatMap(ConfigurationHead::of);
    }

    private static Optional<ConfigurationHead> of(Map<String, String> values) {
        try {
            return Optional.of(new ConfigurationHead(
                    Long.parseLong(values.getOrDefault("version", "")),
                    values.get("commit"),
                    values.get("digest"),
                    values.get("manifest"),
                    values.getOrDefault("delta", "")));
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
        return IniSectionCodec.encode(
                ROW,
                Map.of(
                        "version", Long.toString(version),
                        "commit", commitId,
                        "digest", digest,
                        "manifest", manifestDigest,
                        "delta", deltaDigest));
    }

    /**
     * Names the row that keeps the head of a version for good.
     *
     * @param version the version
     * @return a row name that sorts by version
     */
    public static String historyRowName(long version) {
        return HISTORY_ROW_FORMAT.formatted(version);
    }
}
