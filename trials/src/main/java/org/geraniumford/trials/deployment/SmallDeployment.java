package org.geraniumford.trials.deployment;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Plans a deployment of the example configuration that is small enough for a laptop. */
public final class SmallDeployment {
    private static final List<String> FAILURE_DOMAINS = List.of("kigali-a", "kigali-b", "kigali-c");
    private static final String DRAFT_WEIGHTS_DIGEST =
            "af72250d489ae165bf74a26d181af5117879339ffbb1725e2fb09c82c5cf3441";
    private static final String CIVIC_WEIGHTS_DIGEST =
            "e1f49490b8e822d45d3877077ab95d67a503aa68cc9e445f30b19d8b20e39189";
    private static final int DRAFT_RUNNERS = 3;
    private static final int ENTRIES = 2;

    private SmallDeployment() {}

    // -- construction

    /**
     * Returns the plan of three runners of the draft model, one of the civic model, two plain services and two entries.
     *
     * @param configuration the folder of the example configuration
     * @return the plan
     */
    public static DeploymentPlan plan(Path configuration) {
        return plan(configuration, List.of());
    }

    /**
     * Returns the plan of the same deployment with further engine options.
     *
     * @param configuration the folder of the example configuration
     * @param engineOptions further command-line arguments of every engine stand-in; an option and its value are
     *     separate elements
     * @return the plan
     */
    public static DeploymentPlan plan(Path configuration, List<String> engineOptions) {
        Stream<RunnerPlan> draft = IntStream.range(0, DRAFT_RUNNERS)
                .mapToObj(i -> new RunnerPlan(
                        "runner-" + (i + 1), FAILURE_DOMAINS.get(i), "draft-1", DRAFT_WEIGHTS_DIGEST, engineOptions));
        Stream<RunnerPlan> civic = Stream.of(new RunnerPlan(
                "runner-" + (DRAFT_RUNNERS + 1), "kigali-a", "civic-1", CIVIC_WEIGHTS_DIGEST, engineOptions));
        return new DeploymentPlan(
                configuration,
                Stream.concat(draft, civic).toList(),
                List.of("ballots", "sends"),
                ENTRIES,
                FAILURE_DOMAINS,
                List.of(),
                List.of());
    }
}
