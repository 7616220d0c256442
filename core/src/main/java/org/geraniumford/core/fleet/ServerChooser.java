package org.geraniumford.core.fleet;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.geraniumford.core.prompt.Prompt;

/** Chooses the backend server for a request: near first, then unloaded, then with the prompt cached. */
public final class ServerChooser {
    /** The cost of leaving the failure domain, as a share of an engine's memory or of a plain server's slots. */
    private static final double DISTANCE_COST = 0.25;

    /** The cost of a failure rate of 1, on the same scale. */
    private static final double FAILURE_COST = 2.0;

    /** The cost of reading a whole prompt that is nowhere cached, on the same scale. */
    private static final double MISS_COST = 0.12;

    /** The cost of weights that are not the newest, on the same scale. */
    private static final double OLD_WEIGHTS_COST = 0.3;

    private static final double TIE_BREAK = 0.01;

    private final RandomGenerator random;

    private ServerChooser(RandomGenerator random) {
        this.random = random;
    }

    // -- construction

    /**
     * Creates a chooser.
     *
     * @param random breaks ties
     * @return a new chooser
     */
    public static ServerChooser of(RandomGenerator random) {
        return new ServerChooser(random);
    }

    // -- queries

    /**
     * Chooses a server.
     *
     * @param directory the servers
     * @param query what the request asks for
     * @param nowNanos the time
     * @return the cheapest server; a suspended one only for a first try; empty if none is left
     */
    public Optional<ServerState> choose(ServerDirectory directory, ServerQuery query, long nowNanos) {
        List<ServerState> untried = directory.ready(query.service()).stream()
                .filter(state -> !query.excluded().contains(state.server().id()))
                .toList();
        return cheapest(untried.stream().filter(state -> available(state, nowNanos)), query)
                .or(() -> query.excluded().isEmpty() ? cheapest(untried.stream(), query) : Optional.empty());
    }

    private Optional<ServerState> cheapest(Stream<ServerState> candidates, ServerQuery query) {
        return candidates
                .map(state -> new Scored(state, cost(state, query) + random.nextDouble() * TIE_BREAK))
                .min(Comparator.comparingDouble(Scored::cost))
                .map(Scored::state);
    }

    private static boolean available(ServerState state, long nowNanos) {
        return !state.suspended(nowNanos) && !state.loading(nowNanos);
    }

    private static double cost(ServerState state, ServerQuery query) {
        double distance = state.server().failureDomain().equals(query.failureDomain()) ? 0 : DISTANCE_COST;
        return distance
                + FAILURE_COST * state.failureRate() * state.failureRate()
                + query.prompt()
                        .map(prompt -> engineCost(state, query, prompt))
                        .orElseGet(() -> load(state.running(), state.server().slots()));
    }

    private static double engineCost(ServerState state, ServerQuery query, Prompt prompt) {
        long cached = state.cache().cachedTokens(query.scope(), prompt.parts());
        double missing = 1 - (double) cached / Math.max(1, prompt.inputTokens());
        boolean old = state.weights(prompt.model()).orElse(0) < query.newestWeights();
        return load(state.running(), state.server().slots()) + MISS_COST * missing + (old ? OLD_WEIGHTS_COST : 0);
    }

    private static double load(int running, int slots) {
        return (double) running / Math.max(1, slots);
    }

    private record Scored(ServerState state, double cost) {}
}
