package org.geraniumford.core.routing;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * Why an attempt went where it went.
 *
 * @param attempt the number of the attempt, from 1
 * @param policy the routing policy
 * @param pieces the number of pieces in the prompt
 * @param resumeOffset the number of answer tokens delivered before the attempt
 * @param offers what the candidates offered, the cheapest first
 * @param choice the host chosen
 */
public record Explanation(
        int attempt, RoutingPolicy policy, int pieces, int resumeOffset, List<CandidateCost> offers, String choice) {
    /** Checks the components and copies the list. */
    public Explanation {
        requireNonNull(policy, "policy is null");
        requireNonNull(choice, "choice is null");
        offers = List.copyOf(offers);
    }
}
