package org.geraniumford.daemon.settings;

import java.util.List;
import java.util.stream.Collectors;
import org.geraniumford.core.ini.IniProblem;

/** Thrown if a settings file cannot be used; lists all problems found in it. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<IniProblem> problems;

    /**
     * Creates an exception whose message has a line for each problem.
     *
     * @param problems the problems, at least one
     */
    public SettingsException(List<IniProblem> problems) {
        super(problems.stream().map(IniProblem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    // -- queries

    /**
     * Returns the problems of the file.
     *
     * @return every problem found, at least one
     */
    public List<IniProblem> problems() {
        return problems;
    }
}
