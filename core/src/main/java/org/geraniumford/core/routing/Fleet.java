package org.geraniumford.core.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/** The model engines that an entry is connected to. Immutable. */
public final class Fleet {
    private static final Fleet EMPTY = new Fleet(Map.of(), Map.of());

    private final Map<String, Backend> byHost;
    private final Map<String, List<Backend>> byWeightsDigest;

    private Fleet(Map<String, Backend> byHost, Map<String, List<Backend>> byWeightsDigest) {
        this.byHost = byHost;
        this.byWeightsDigest = byWeightsDigest;
    }

    // -- construction

    /**
     * Returns a fleet without engines.
     *
     * @return the empty fleet
     */
    public static Fleet empty() {
        return EMPTY;
    }

    /**
     * Creates a fleet of engines.
     *
     * @param backends the engines, at most one for each host
     * @return the fleet
     * @throws IllegalStateException if two engines have the same host
     */
    public static Fleet ofAll(Collection<Backend> backends) {
        Map<String, Backend> byHost =
                backends.stream().collect(Collectors.toUnmodifiableMap(Backend::host, Function.identity()));
        Map<String, List<Backend>> byWeightsDigest = backends.stream()
                .filter(Backend::isAvailable)
                .sorted(Comparator.comparing(Backend::host))
                .collect(Collectors.groupingBy(Backend::weightsDigest, Collectors.toUnmodifiableList()));
        return new Fleet(byHost, Map.copyOf(byWeightsDigest));
    }

    // -- queries

    /**
     * Returns the engines that can be sent work for a model version.
     *
     * @param modelVersion the model version
     * @param weightsDigest the digest of the model version's weights
     * @return the engines that are up, not leaving and have loaded exactly these weights, in the order of their hosts'
     *     names
     */
    public List<Backend> serving(String modelVersion, String weightsDigest) {
        return byWeightsDigest.getOrDefault(weightsDigest, List.of()).stream()
                .filter(backend -> backend.modelVersion().equals(modelVersion))
                .toList();
    }

    /**
     * Finds the engine of a host.
     *
     * @param host the host's name
     * @return the engine, or empty if there is no connection to that host
     */
    public Optional<Backend> find(String host) {
        return Optional.ofNullable(byHost.get(host));
    }

    /**
     * Returns the number of engines.
     *
     * @return 0 or more, including engines that are down or leaving
     */
    public int size() {
        return byHost.size();
    }
}
