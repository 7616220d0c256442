package org.geraniumford.core.configuration;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.Optional;

/**
 * The content of the head row in the table service, which identifies the configuration in force. A copy is kept in the
 * history row of its version.
 *
 * @param version the configuration's version, at least 1
 * @param commitId the identifier of the change that produced this version, unique across all operators
 * @param digest the digest of the merged text in the object store
 * @param manifestDigest the digest of the {@link FolderManifest} in the object store
 * @param deltaDigest the digest of the {@link IniDelta} in the object store that turns the previous version into this
 *     one; empty if there is none
 */
public record ConfigurationHead(
        long version, String commitId, String digest, String manifestDigest, String deltaDigest) {
    /** The name of the table that contains the head row and the history rows. */
    public static final String TABLE = "configuration";

    /** The name of the head row. */
    public static final String ROW = "head";

    private static final String HISTORY_ROW_FORMAT = "version-%012d";

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if the version is less than 1
     */
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
     * Decodes the text of a row.
     *
     * @param text a text in the format of {@link #encode}
     * @return the head, or empty if the text is not valid
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
     * Encodes the head for a row.
     *
     * @return the components as INI text
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
     * Returns the name of the history row of a version. The row keeps the head of that version permanently.
     *
     * @param version the version, at least 1
     * @return the row's name; the order of the names is the order of the versions
     */
    public static String historyRowName(long version) {
        return HISTORY_ROW_FORMAT.formatted(version);
    }
}
