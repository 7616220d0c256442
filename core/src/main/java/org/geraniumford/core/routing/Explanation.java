package org.geraniumford.core.routing;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * The reasons for the choice of an attempt's host.
 *
 * @param attempt the number of the attempt, from 1
 * @param policy the routing policy
 * @param pieces the number of blocks in the prompt
 * @param resumeOffset the number of response tokens that were delivered before the attempt
 * @param offers the costs of the candidates, the lowest first
 * @param choice the name of the chosen host
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
