package org.geraniumford.core.configuration;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The names and content digests of the files in the operators' folder.
 *
 * @param digests the hexadecimal SHA-256 digest of each file's content by the file's name
 */
public record FolderManifest(SortedMap<String, String> digests) {
    private static final String SECTION = "files";
    private static final FolderManifest EMPTY = new FolderManifest(new TreeMap<>());

    /** Copies the map. */
    public FolderManifest {
        digests = Collections.unmodifiableSortedMap(new TreeMap<>(digests));
    }

    // -- construction

    /**
     * Returns the manifest of an empty folder.
     *
     * @return a manifest without files
     */
    public static FolderManifest empty() {
        return EMPTY;
    }

    /**
     * Creates the manifest of a folder.
     *
     * @param files the files, with unique names
     * @return the manifest with the name and digest of each file
     */
    public static FolderManifest ofAll(List<ConfigurationFile> files) {
        return new FolderManifest(files.stream()
                .collect(Collectors.toMap(
                        ConfigurationFile::name, ConfigurationFile::digest, (a, b) -> b, TreeMap::new)));
    }

    /**
     * Decodes a manifest from the object store.
     *
     * @param text a text in the format of {@link #encode}
     * @return the manifest, or empty if the text is not valid
     */
    public static Optional<FolderManifest> decode(String text) {
        return IniSectionCodec.decode(SECTION, text).map(FolderManifest::new);
    }

    // -- queries

    /**
     * Encodes the manifest for the object store.
     *
     * @return the digests as INI text
     */
    public String encode() {
        return IniSectionCodec.encode(SECTION, digests);
    }

    /**
     * Returns the names of the files in which two folders differ.
     *
     * @param other the manifest of the other folder
     * @return the names of files that only one folder has or whose contents differ
     */
    public SortedSet<String> difference(FolderManifest other) {
        return Stream.of(digests, other.digests)
                .map(Map::keySet)
                .flatMap(Set::stream)
                .filter(name -> !Objects.equals(digests.get(name), other.digests.get(name)))
                .collect(Collectors.toCollection(TreeSet::new));
    }
}
