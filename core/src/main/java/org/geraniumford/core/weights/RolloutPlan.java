package org.geraniumford.core.weights;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * Selects the servers that load new weights next, distributed over the failure domains, while the others serve
 * requests. Those with the oldest weights go first, because they reach the staleness limit first; among them, those in
 * the failure domain with the fewest loading servers, then those with the least work.
 *
 * <p>A server that drains and loads serves nothing, and comes back with an empty cache. Therefore only a quarter of the
 * servers, rounded, load at a time, unless more are necessary for every server to load before its weights may no longer
 * be used. This happens when versions are published every few seconds. More than half never load at a time.
 */
public final class RolloutPlan {
    private static final int USUAL_SHARE_DIVISOR = 4;
    private static final int LARGEST_SHARE_DIVISOR = 2;

    private RolloutPlan() {}

    // -- queries

    /**
     * Selects the servers to order now.
     *
     * @param outdated the servers that have older weights and are not loading
     * @param loadingDomains the failure domains of the servers that are loading, one element per server
     * @param serverCount how many servers have the model
     * @param loadTime how long one server takes to drain and load
     * @return the servers to which orders are sent, in sequence; may be empty
     */
    public static List<RolloutCandidate> selectServers(
            List<RolloutCandidate> outdated, List<String> loadingDomains, int serverCount, Duration loadTime) {
        int freeSlots = loadingSlots(outdated, loadingDomains.size(), serverCount, loadTime) - loadingDomains.size();
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

    /** Returns how many servers may load at a time. */
    private static int loadingSlots(
            List<RolloutCandidate> outdated, int loadingCount, int serverCount, Duration loadTime) {
        int usual = Math.max(1, Math.round((float) serverCount / USUAL_SHARE_DIVISOR));
        int largest = Math.max(1, Math.round((float) serverCount / LARGEST_SHARE_DIVISOR));
        return Math.min(largest, Math.max(usual, necessarySlots(outdated, loadingCount, loadTime)));
    }

    /** Returns how many servers must load at a time for each to load before its weights may no longer be used. */
    private static int necessarySlots(List<RolloutCandidate> outdated, int loadingCount, Duration loadTime) {
        List<RolloutCandidate> byTimeLeft = outdated.stream()
                .sorted(Comparator.comparing(RolloutCandidate::timeLeft))
                .toList();
        return IntStream.range(0, byTimeLeft.size())
                .map(i -> necessarySlots(loadingCount + i + 1, byTimeLeft.get(i).timeLeft(), loadTime))
                .max()
                .orElse(0);
    }

    /** Returns how many of the servers must load at a time for all of them to load within the time left. */
    private static int necessarySlots(int servers, Duration timeLeft, Duration loadTime) {
        long turns = Math.max(1, timeLeft.toMillis() / Math.max(1, loadTime.toMillis()));
        return (int) ((servers + turns - 1) / turns);
    }
}
