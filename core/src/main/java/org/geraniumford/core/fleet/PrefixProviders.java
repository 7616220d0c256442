package org.geraniumford.core.fleet;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the engine from which another one fetches the shared segments of a prompt. The engines' links together carry
 * far more than those of the cache stores.
 */
public final class PrefixProviders {
    private final RandomGenerator random;

    private PrefixProviders(RandomGenerator random) {
        this.random = random;
    }

    // -- construction

    /**
     * Creates a chooser of providers.
     *
     * @param random the source of the choice among several engines
     * @return a new object
     */
    public static PrefixProviders of(RandomGenerator random) {
        return new PrefixProviders(requireNonNull(random, "random is null"));
    }

    // -- queries

    /**
     * Chooses an engine that provides a prefix.
     *
     * @param servers the engines of the service that take new work
     * @param fetching the engine that needs the prefix
     * @param model the model's name
     * @param sharedSegments the shared segments of the prompt, in the scope of the fetching engine's weights
     * @param nowNanos the current time, from {@link System#nanoTime}
     * @return an engine with the same weights that probably has all the segments cached, in the failure domain of the
     *     fetching engine if there is one; empty if there is none at all
     */
    public Optional<ServerState> choose(
            List<ServerState> servers,
            ServerState fetching,
            String model,
            List<ScopedSegment> sharedSegments,
            long nowNanos) {
        List<ServerState> providers = servers.stream()
                .filter(state -> state != fetching)
                .filter(state -> !state.isLoading(nowNanos))
                .filter(state -> !state.reachability().isSuspended(nowNanos))
                .filter(state -> state.weightsVersion(model).equals(fetching.weightsVersion(model)))
                .filter(state -> state.cache().canProvide(sharedSegments))
                .toList();
        List<ServerState> near = providers.stream()
                .filter(state ->
                        state.server().failureDomain().equals(fetching.server().failureDomain()))
                .toList();
        return any(near).or(() -> any(providers));
    }

    private Optional<ServerState> any(List<ServerState> servers) {
        return servers.isEmpty() ? Optional.empty() : Optional.of(servers.get(random.nextInt(servers.size())));
    }
}
