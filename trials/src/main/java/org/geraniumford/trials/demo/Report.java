package org.geraniumford.trials.demo;

import java.io.PrintWriter;
import org.geraniumford.trials.caller.ModelResponse;

/** Prints the steps, responses and checks of the demo, and counts failed checks. */
final class Report {
    private final PrintWriter out;
    private int failures;

    Report(PrintWriter out) {
        this.out = out;
    }

    // -- queries

    boolean allPassed() {
        return failures == 0;
    }

    // -- commands

    void printStep(String text) {
        out.printf("%n%s%n", text);
    }

    void printLine(String text) {
        out.println("  " + text);
    }

    void printResponse(String label, ModelResponse response) {
        out.printf(
                "  %-34s source=%-12s cached=%d/%d pieces  first token %d ms  %s%n",
                label,
                response.backend().isEmpty() ? "-" : response.backend(),
                response.cachedBlocks(),
                response.blocks(),
                response.timeToFirstToken().toMillis(),
                response.isComplete()
                        ? "complete"
                        : response.end() + " " + response.reason() + " " + response.verdict());
    }

    void check(String description, boolean passed) {
        out.printf("  [%s] %s%n", passed ? "ok" : "FAILED", description);
        failures += passed ? 0 : 1;
    }
}
