package org.geraniumford.core.configuration;

import java.util.List;

/** What became of a folder or a merged text. */
public sealed interface ParsedConfiguration {
    /**
     * The text is a configuration.
     *
     * @param configuration the configuration
     */
    record Accepted(Configuration configuration) implements ParsedConfiguration {}

    /**
     * The text is no configuration.
     *
     * @param problems what is wrong, at least one problem
     */
    record Rejected(List<ConfigurationProblem> problems) implements ParsedConfiguration {
        /** Copies the list. */
        public Rejected {
            problems = List.copyOf(problems);
        }
    }
}
