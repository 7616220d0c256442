package org.geraniumford.trials.demo;

import java.io.PrintWriter;
import org.geraniumford.trials.caller.ModelResponse;

/** Prints what the demo sees, and remembers whether every check held. */
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

    void printResponse(String label, ModelResponse answer) {
        out.printf(
                "  %-34s source=%-12s cached=%d/%d pieces  first token %d ms  %s%n",
                label,
                answer.backend().isEmpty() ? "-" : answer.backend(),
                answer.cachedBlocks(),
                answer.blocks(),
                answer.timeToFirstToken().toMillis(),
                answer.isComplete() ? "complete" : answer.end() + " " + answer.reason() + " " + answer.verdict());
    }

    void check(String promise, boolean held) {
        out.printf("  [%s] %s%n", held ? "ok" : "FAILED", promise);
        failures += held ? 0 : 1;
    }
}
