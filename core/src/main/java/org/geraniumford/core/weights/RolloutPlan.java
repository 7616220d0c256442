package org.geraniumford.core.weights;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which servers load new weights next. Half of them may load at a time, spread over the failure domains, so that the
 * others carry the load; those with the oldest weights go first, since their time runs out first, and among them those
 * with the least work. It answers versions that are named every few seconds: an engine takes as long to run dry as to
 * load, so that fewer at a time miss the bound.
 */
public final class RolloutPlan {
    private static final int LOADING_SHARE_DIVISOR = 2;

    private RolloutPlan() {}

    // -- queries

    /**
     * Chooses servers to order now.
     *
     * @param outdated the servers that hold older weights and are not loading
     * @param loading the failure domains of the servers that are loading, one entry for each
     * @param total how many servers hold the model
     * @return the servers to order, perhaps none
     */
    public static List<RolloutCandidate> selectServers(
            List<RolloutCandidate> outdated, List<String> loading, int total) {
        int room = Math.max(1, Math.round((float) total / LOADING_SHARE_DIVISOR)) - loading.size();
        Map<String, Integer> byDomain = new HashMap<>();
        loading.forEach(domain -> byDomain.merge(domain, 1, Integer::sum));
        List<RolloutCandidate> left = new ArrayList<>(outdated);
        List<RolloutCandidate> chosen = new ArrayList<>();
        while (chosen.size() < room && !left.isEmpty()) {
            RolloutCandidate next = left.stream()
                    .min(Comparator.comparingInt(RolloutCandidate::version)
                            .thenComparingInt(candidate -> byDomain.getOrDefault(candidate.failureDomain(), 0))
                            .thenComparingInt(RolloutCandidate::running)
                            .thenComparing(RolloutCandidate::server))
                    .orElseThrow();
            left.remove(next);
            chosen.add(next);
            byDomain.merge(next.failureDomain(), 1, Integer::sum);
        }
        return chosen;
    }
}
