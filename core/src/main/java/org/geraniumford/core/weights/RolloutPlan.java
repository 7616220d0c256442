package org.geraniumford.core.weights;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Selects the servers that load new weights next. Half of the servers, rounded up, may load at a time, distributed over
 * the failure domains, while the others serve requests. Those with the oldest weights go first, because they reach the
 * staleness limit first; among them, those in the failure domain with the fewest loading servers, then those with the
 * least work. Half is necessary when versions are published every few seconds: an engine takes as long to drain as to
 * load, so that servers would exceed the staleness limit if fewer loaded at a time.
 */
public final class RolloutPlan {
    private static final int LOADING_SHARE_DIVISOR = 2;

    private RolloutPlan() {}

    // -- queries

    /**
     * Selects the servers to order now.
     *
     * @param outdated the servers that have older weights and are not loading
     * @param loadingDomains the failure domains of the servers that are loading, one element per server
     * @param serverCount how many servers have the model
     * @return the servers to which orders are sent, in sequence; may be empty
     */
    public static List<RolloutCandidate> selectServers(
            List<RolloutCandidate> outdated, List<String> loadingDomains, int serverCount) {
        int freeSlots = Math.max(1, Math.round((float) serverCount / LOADING_SHARE_DIVISOR)) - loadingDomains.size();
        Map<String, Integer> loadingByDomain = new HashMap<>();
        loadingDomains.forEach(domain -> loadingByDomain.merge(domain, 1, Integer::sum));
        List<RolloutCandidate> remaining = new ArrayList<>(outdated);
        List<RolloutCandidate> chosen = new ArrayList<>();
        while (chosen.size() < freeSlots && !remaining.isEmpty()) {
            RolloutCandidate next = remaining.stream()
                    .min(Comparator.comparingInt(RolloutCandidate::version)
                            .thenComparingInt(candidate -> loadingByDomain.getOrDefault(candidate.failureDomain(), 0))
                            .thenComparingInt(RolloutCandidate::running)
                            .thenComparing(RolloutCandidate::server))
                    .orElseThrow();
            remaining.remove(next);
            chosen.add(next);
            loadingByDomain.merge(next.failureDomain(), 1, Integer::sum);
        }
        return chosen;
    }
}
