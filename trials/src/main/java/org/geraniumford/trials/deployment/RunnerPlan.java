package org.geraniumford.trials.deployment;

import java.util.List;

/**
 * The plan of one model runner: an engine and its sidecar.
 *
 * @param name the host's name
 * @param failureDomain its failure domain
 * @param modelVersion the model version that the engine loads
 * @param weightsDigest the digest of that version's weights
 * @param engineOptions further command-line arguments of the engine stand-in; an option and its value are separate
 *     elements
 */
public record RunnerPlan(
        String name, String failureDomain, String modelVersion, String weightsDigest, List<String> engineOptions) {
    /** Copies the list. */
    public RunnerPlan {
        engineOptions = List.copyOf(engineOptions);
    }
}
