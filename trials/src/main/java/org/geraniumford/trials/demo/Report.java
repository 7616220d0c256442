package org.geraniumford.trials.demo;

import java.io.PrintWriter;
import org.geraniumford.trials.caller.ModelAnswer;

/** Prints what the demo sees, and remembers whether every check held. */
final class Report {
    private final PrintWriter out;
    private int failures;

    Report(PrintWriter out) {
        this.out = out;
    }

    // -- queries

    boolean allHeld() {
        return failures == 0;
    }

    // -- commands

    void step(String text) {
        out.printf("%n%s%n", text);
    }

    void line(String text) {
        out.println("  " + text);
    }

    void answer(String label, ModelAnswer answer) {
        out.printf(
                "  %-34s source=%-12s cached=%d/%d pieces  first token %d ms  %s%n",
                label,
                answer.backend().isEmpty() ? "-" : answer.backend(),
                answer.cachedPieces(),
                answer.pieces(),
                answer.timeToFirstToken().toMillis(),
                answer.complete() ? "complete" : answer.end() + " " + answer.reason() + " " + answer.verdict());
    }

    void check(String promise, boolean held) {
        out.printf("  [%s] %s%n", held ? "ok" : "FAILED", promise);
        failures += held ? 0 : 1;
    }
}
