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
 * The files of the operators' folder.
 *
 * @param digests the digest of each file's content by the file's name
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
     * @return no files
     */
    public static FolderManifest empty() {
        return EMPTY;
    }

    /**
     * Creates the manifest of a folder.
     *
     * @param files the files, each name once
     * @return names and digests
     */
    public static FolderManifest ofAll(List<ConfigurationFile> files) {
        return new FolderManifest(files.stream()
                .collect(Collectors.toMap(
                        ConfigurationFile::name, ConfigurationFile::digest, (a, b) -> b, TreeMap::new)));
    }

    /**
     * Reads a blob's text.
     *
     * @param text what {@link #encode} wrote
     * @return the manifest, or empty if the text is not one
     */
    public static Optional<FolderManifest> decode(String text) {
        return IniSectionCodec.decode(SECTION, text).map(FolderManifest::new);
    }

    // -- queries

    /**
     * Returns the text to keep in a blob.
     *
     * @return the digests in INI
     */
    public String encode() {
        return IniSectionCodec.encode(SECTION, digests);
    }

    /**
     * Compares two folders.
     *
     * @param other the other folder
     * @return the names of the files that were added, removed or changed
     */
    public SortedSet<String> difference(FolderManifest other) {
        return Stream.of(digests, other.digests)
                .map(Map::keySet)
                .flatMap(Set::stream)
                .filter(name -> !Objects.equals(digests.get(name), other.digests.get(name)))
                .collect(Collectors.toCollection(TreeSet::new));
    }
}
