package org.geraniumford.daemon.settings;

import java.util.List;
import java.util.stream.Collectors;
import org.geraniumford.core.ini.IniProblem;

/** A settings file that cannot be used, with everything wrong in it. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<IniProblem> problems;

    /**
     * Creates a failure.
     *
     * @param problems what is wrong, at least one problem
     */
    public SettingsException(List<IniProblem> problems) {
        super(problems.stream().map(IniProblem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    // -- queries

    /**
     * Returns what is wrong.
     *
     * @return every problem found, at least one
     */
    public List<IniProblem> problems() {
        return problems;
    }
}
