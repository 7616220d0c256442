package org.geraniumford.core.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/** The model engines that an entry is connected to. Immutable. */
public final class ConnectedEngines {
    private static final ConnectedEngines EMPTY = new ConnectedEngines(Map.of(), Map.of());

    private final Map<String, ConnectedEngine> byHost;
    private final Map<String, List<ConnectedEngine>> byWeightsDigest;

    private ConnectedEngines(Map<String, ConnectedEngine> byHost, Map<String, List<ConnectedEngine>> byWeightsDigest) {
        this.byHost = byHost;
        this.byWeightsDigest = byWeightsDigest;
    }

    // -- construction

    /**
     * Returns an instance without engines.
     *
     * @return the empty instance
     */
    public static ConnectedEngines empty() {
        return EMPTY;
    }

    /**
     * Creates an instance with the given engines.
     *
     * @param engines the engines, at most one for each host
     * @return the new instance
     * @throws IllegalStateException if two engines have the same host
     */
    public static ConnectedEngines ofAll(Collection<ConnectedEngine> engines) {
        Map<String, ConnectedEngine> byHost =
                engines.stream().collect(Collectors.toUnmodifiableMap(ConnectedEngine::host, Function.identity()));
        Map<String, List<ConnectedEngine>> byWeightsDigest = engines.stream()
                .filter(ConnectedEngine::isAvailable)
                .sorted(Comparator.comparing(ConnectedEngine::host))
                .collect(Collectors.groupingBy(ConnectedEngine::weightsDigest, Collectors.toUnmodifiableList()));
        return new ConnectedEngines(byHost, Map.copyOf(byWeightsDigest));
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
    public List<ConnectedEngine> serving(String modelVersion, String weightsDigest) {
        return byWeightsDigest.getOrDefault(weightsDigest, List.of()).stream()
                .filter(engine -> engine.modelVersion().equals(modelVersion))
                .toList();
    }

    /**
     * Finds the engine of a host.
     *
     * @param host the host's name
     * @return the engine, or empty if there is no link to that host
     */
    public Optional<ConnectedEngine> find(String host) {
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
