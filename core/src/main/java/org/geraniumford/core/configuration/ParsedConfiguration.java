package org.geraniumford.core.configuration;

import java.util.List;

/** The result of parsing a folder or a merged text. */
public sealed interface ParsedConfiguration {
    /**
     * The input is a valid configuration.
     *
     * @param configuration the configuration
     */
    record Accepted(Configuration configuration) implements ParsedConfiguration {}

    /**
     * The input is not a valid configuration.
     *
     * @param problems the problems found, at least one
     */
    record Rejected(List<ConfigurationProblem> problems) implements ParsedConfiguration {
        /** Copies the list. */
        public Rejected {
            problems = List.copyOf(problems);
        }
    }
}
