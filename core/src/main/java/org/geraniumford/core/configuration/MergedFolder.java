package org.geraniumford.core.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Pattern;

/**
 * The operators' folder, merged in the order of the files' names. Where two files set a key, the value of the later
 * file replaces that of the earlier one.
 *
 * @param sections the merged sections
 * @param problems the problems in single files
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
     * Merges the files of a folder.
     *
     * @param files the files, in any order
     * @return the merged sections and the problems of all files
     */
    public static MergedFolder ofAll(List<ConfigurationFile> files) {
        return files.stream()
                .sorted(Comparator.comparing(ConfigurationFile::name))
                .map(MergedFolder::of)
                .reduce(EMPTY, MergedFolder::merge);
    }

    private static MergedFolder of(ConfigurationFile file) {
        if (!FILE_NAME.matcher(file.name()).matches()) {
            return ofProblem(file.name(), "a file's name has letters, digits, dots, dashes and underscores only");
        }
        return file.text()
                .map(text -> IniReader.read(file.name(), text))
                .map(result -> new MergedFolder(result.sections(), result.problems()))
                .orElseGet(() -> ofProblem(file.name(), "the file is not UTF-8 text"));
    }

    private static MergedFolder ofProblem(String fileName, String message) {
        Position position = new Position(fileName, 0);
        return new MergedFolder(IniSections.empty(), List.of(ConfigurationProblem.of(position, "", "", message)));
    }

    // -- combinators

    private MergedFolder merge(MergedFolder later) {
        List<ConfigurationProblem> allProblems = new ArrayList<>(problems);
        allProblems.addAll(later.problems);
        return new MergedFolder(sections.merge(later.sections), allProblems);
    }

    // -- queries

    /**
     * Returns the canonical text of the merged folder.
     *
     * @return the sections and keys in sorted order as INI text
     */
    public String text() {
        return sections.text();
    }
}
