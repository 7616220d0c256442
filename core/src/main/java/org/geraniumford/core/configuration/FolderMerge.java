package org.geraniumford.core.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The operators' folder, merged in the order of the files' names: later files win key by key.
 *
 * @param sections the merged sections
 * @param problems what is wrong in single files
 */
public record FolderMerge(IniSections sections, List<ConfigurationProblem> problems) {
    private static final FolderMerge EMPTY = new FolderMerge(IniSections.empty(), List.of());

    /** Copies the list. */
    public FolderMerge {
        problems = List.copyOf(problems);
    }

    // -- construction

    /**
     * Merges a folder.
     *
     * @param files the files, in any order
     * @return the merged sections, and each problem of each file
     */
    public static FolderMerge ofAll(List<ConfigurationFile> files) {
        return files.stream()
                .sorted(Comparator.comparing(ConfigurationFile::name))
                .map(FolderMerge::of)
                .reduce(EMPTY, FolderMerge::merge);
    }

    private static FolderMerge of(ConfigurationFile file) {
        return file.text()
                .map(text -> IniReader.read(file.name(), text))
                .map(result -> new FolderMerge(result.sections(), result.problems()))
                .orElseGet(() -> notUtf8(file.name()));
    }

    private static FolderMerge notUtf8(String name) {
        Position position = new Position(name, 0);
        return new FolderMerge(
                IniSections.empty(), List.of(ConfigurationProblem.of(position, "", "", "the file is not UTF-8 text")));
    }

    // -- combinators

    private FolderMerge merge(FolderMerge later) {
        List<ConfigurationProblem> all = new ArrayList<>(problems);
        all.addAll(later.problems);
        return new FolderMerge(sections.merge(later.sections), all);
    }

    // -- queries

    /**
     * Returns the canonical text of the merged folder.
     *
     * @return sections and keys in sorted order, in INI
     */
    public String text() {
        return sections.text();
    }
}
