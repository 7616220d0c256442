package org.geraniumford.trials.deployment;

import java.util.List;

/**
 * One model runner of a deployment.
 *
 * @param name the host's name
 * @param failureDomain its failure domain
 * @param modelVersion the model version that the engine holds
 * @param weightsDigest the digest of those weights
 * @param engineOptions further options of the engine stand-in
 */
public record RunnerPlan(
        String name, String failureDomain, String modelVersion, String weightsDigest, List<String> engineOptions) {
    /** Copies the list. */
    public RunnerPlan {
        engineOptions = List.copyOf(engineOptions);
    }
}
