package org.geraniumford.trials.demo;

import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Generates the long prompt texts of the demo. */
final class DemoPrompts {
    private static final int RULE_COUNT = 400;
    private static final int MEMBER_COUNT = 2000;

    private DemoPrompts() {}

    // -- queries

    /** Returns the rules that begin every prompt, one a line. */
    static String preamble() {
        return IntStream.range(0, RULE_COUNT)
                .mapToObj(i -> "House rule " + i + ": answer in Kinyarwanda, English or French.")
                .collect(Collectors.joining("\n"));
    }

    /** Returns the club's member list, one member a line. */
    static String memberList() {
        return IntStream.range(0, MEMBER_COUNT)
                .mapToObj(i -> "Member " + i + ", joined in month " + (i % 12 + 1) + ", paid.")
                .collect(Collectors.joining("\n"));
    }
}
