package org.geraniumford.core.fleet;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.geraniumford.core.prompt.PromptSpec;

/**
 * Chooses the backend server for a request: the one where the first token is expected soonest, with the disadvantages
 * of each server expressed as milliseconds of waiting. It answers bursts and rollouts, when a few servers look better
 * than the others to every entry at once: the load is what all entries have in progress, and no advantage outweighs a
 * queue.
 */
public final class ServerChooser {
    /** The prompt tokens that an engine reads in a millisecond. */
    private static final double PREFILL_TOKENS_PER_MS = 100;

    /** What each running request adds to the time of a step. */
    private static final double RUNNING_REQUEST_COST_MS = 1.0;

    /** The cost of sending a byte to another failure domain. */
    private static final double CROSS_DOMAIN_COST_MS_PER_BYTE = 0.006;

    /** The cost of leaving the failure domain with an empty request. */
    private static final double CROSS_DOMAIN_COST_MS = 3;

    /** The cost of a failure rate of 1. */
    private static final double FAILURE_RATE_COST_MS = 1500;

    /** The cost of weights that are not the newest. */
    private static final double OLD_WEIGHTS_COST_MS = 120;

    /** The cost of a request that does not fit into the engine's memory beside those that run. */
    private static final double PREEMPTION_COST_MS = 1000;

    /** The part of an engine's memory that running requests may need before others are preempted. */
    private static final double USABLE_MEMORY_FRACTION = 0.85;

    /** The cost of a plain call in progress, in place of each slot. */
    private static final double WAITING_CALL_COST_MS = 60;

    /** The gain of reading a shared part where every entry has it read. */
    private static final double RENDEZVOUS_GAIN_MS = 250;

    private static final double MAX_TIE_BREAK_MS = 2;

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
        List<ServerState> untried = directory.activeServers(query.service()).stream()
                .filter(state -> !query.excluded().contains(state.server().id()))
                .filter(state -> hasRecentWeights(state, query))
                .toList();
        return cheapest(untried.stream().filter(state -> isAvailable(state, nowNanos)), query)
                .or(() -> query.excluded().isEmpty() ? cheapest(untried.stream(), query) : Optional.empty());
    }

    private Optional<ServerState> cheapest(Stream<ServerState> candidates, ServerQuery query) {
        List<ServerState> choice = candidates.toList();
        Optional<ServerState> home = rendezvousServer(choice, query);
        return choice.stream()
                .map(state -> new ScoredServer(state, cost(state, query) + random.nextDouble() * MAX_TIE_BREAK_MS))
                .map(scored ->
                        scored.withGain(home.filter(scored.state()::equals).isPresent() ? RENDEZVOUS_GAIN_MS : 0))
                .min(Comparator.comparingDouble(ScoredServer::cost))
                .map(ScoredServer::state);
    }

    private static boolean hasRecentWeights(ServerState state, ServerQuery query) {
        return query.prompt()
                .map(scoped -> state.weightsVersion(scoped.prompt().model()).orElse(0) >= query.minWeightsVersion())
                .orElse(true);
    }

    private static boolean isAvailable(ServerState state, long nowNanos) {
        return !state.reachability().isSuspended(nowNanos) && !state.isLoading(nowNanos);
    }

    private static double cost(ServerState state, ServerQuery query) {
        boolean near = state.server().failureDomain().equals(query.failureDomain());
        double distance = near ? 0 : CROSS_DOMAIN_COST_MS + CROSS_DOMAIN_COST_MS_PER_BYTE * query.requestBytes();
        return distance
                + FAILURE_RATE_COST_MS * state.failureRate() * state.failureRate()
                + query.prompt()
                        .map(scoped -> engineCost(state, query, scoped))
                        .orElseGet(() -> plainServiceCost(state));
    }

    private static double plainServiceCost(ServerState state) {
        int running = state.totalLoad().running();
        int waiting = Math.max(0, running + 1 - state.server().slots());
        return running + WAITING_CALL_COST_MS * waiting;
    }

    private static double engineCost(ServerState state, ServerQuery query, ScopedPrompt scoped) {
        ServerLoad load = state.totalLoad();
        PromptSpec prompt = scoped.prompt();
        long unread = state.estimatedPrefillTokens(scoped, query.fetchable());
        boolean old = state.weightsVersion(prompt.model()).orElse(0) < query.newestWeightsVersion();
        boolean full = load.running() >= state.server().slots()
                || load.reservedTokens() + prompt.totalTokens() > USABLE_MEMORY_FRACTION * state.kvCapacityTokens();
        return (load.pendingPrefillTokens() + unread) / PREFILL_TOKENS_PER_MS
                + RUNNING_REQUEST_COST_MS * load.running()
                + (old ? OLD_WEIGHTS_COST_MS : 0)
                + (full ? PREEMPTION_COST_MS : 0);
    }

    /** Every entry comes to the same server for a part that must be read, as long as they see the same servers. */
    private static Optional<ServerState> rendezvousServer(List<ServerState> choice, ServerQuery query) {
        if (query.prompt().isEmpty() || query.firstUnsavedSegment().isEmpty()) {
            return Optional.empty();
        }
        String model = query.prompt().get().prompt().model();
        long part = query.firstUnsavedSegment().getAsLong();
        return choice.stream()
                .filter(state -> state.weightsVersion(model).orElse(0) >= query.newestWeightsVersion())
                .max(Comparator.comparingLong(
                        state -> score(part, state.server().id())));
    }

    private static long score(long part, String server) {
        return Hashing.xxh3_64().hashStream().putLong(part).putString(server).getAsLong();
    }

    private record ScoredServer(ServerState state, double cost) {
        ScoredServer withGain(double gain) {
            return new ScoredServer(state, cost - gain);
        }
    }
}
