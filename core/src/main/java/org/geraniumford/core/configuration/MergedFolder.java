package org.geraniumford.core.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Pattern;

/**
 * The operators' folder, merged in the order of the files' names: later files win key by key.
 *
 * @param sections the merged sections
 * @param problems what is wrong in single files
 */
public record MergedFolder(IniSections sections, List<ConfigurationProblem> problems) {
    private static final Pattern FILE_NAME = Pattern.compile("[A-Za-z0-9._-]+");
    private static final MergedFolder EMPTY = new MergedFolder(IniSections.empty(), List.of());

    /** Copies the list. */
    public MergedFolder {
        problems = List.copyOf(problems);
    }

    // -- construction

    /**
     * Merges a folder.
     *
     * @param files the files, in any order
     * @return the merged sections, and each problem of each file
     */
    public static MergedFolder ofAll(List<ConfigurationFile> files) {
        return files.stream()
                .sorted(Comparator.comparing(ConfigurationFile::name))
                .map(MergedFolder::of)
                .reduce(EMPTY, MergedFolder::merge);
    }

    private static MergedFolder of(ConfigurationFile file) {
        if (!FILE_NAME.matcher(file.name()).matches()) {
            return problem(file.name(), "a file's name has letters, digits, dots, dashes and underscores only");
        }
        return file.text()
                .map(text -> IniReader.read(file.name(), text))
                .map(result -> new MergedFolder(result.sections(), result.problems()))
                .orElseGet(() -> problem(file.name(), "the file is not UTF-8 text"));
    }

    private static MergedFolder problem(String name, String message) {
        Position position = new Position(name, 0);
        return new MergedFolder(IniSections.empty(), List.of(ConfigurationProblem.of(position, "", "", message)));
    }

    // -- combinators

    private MergedFolder merge(MergedFolder later) {
        List<ConfigurationProblem> all = new ArrayList<>(problems);
        all.addAll(later.problems);
        return new MergedFolder(sections.merge(later.sections), all);
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
