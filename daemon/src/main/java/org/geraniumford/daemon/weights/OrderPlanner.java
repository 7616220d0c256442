package org.geraniumford.daemon.weights;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;
import org.geraniumford.core.fleet.ServerState;
import org.geraniumford.core.time.LocalClock;
import org.geraniumford.core.weights.LeaseTerm;
import org.geraniumford.core.weights.LoadEstimate;
import org.geraniumford.core.weights.OrderIntent;
import org.geraniumford.core.weights.OrderKey;
import org.geraniumford.core.weights.OrderProgress;
import org.geraniumford.core.weights.RolloutCandidate;
import org.geraniumford.core.weights.RolloutPlan;
import org.geraniumford.daemon.gateway.GatewayState;
import org.geraniumford.transport.log.LogEvent;

/** Determines which servers have outdated weights and which of them are ordered next. Changes nothing. */
final class OrderPlanner {
    private final String host;
    private final GatewayState state;
    private final KnownLease known;
    private final LocalClock clock;
    private final RolloutTimes times;

    /**
     * Creates a planner.
     *
     * @param host the name of this host, the holder in the planned intents
     * @param state the servers and the published weights
     * @param known the lease, with the orders of other terms
     * @param clock the local clock
     * @param times the bounds that the rollout must keep
     */
    OrderPlanner(String host, GatewayState state, KnownLease known, LocalClock clock, RolloutTimes times) {
        this.host = host;
        this.state = state;
        this.known = known;
        this.clock = clock;
        this.times = times;
    }

    // -- queries

    /** Returns whether a server that is not leaving has older weights than the published ones. */
    boolean hasOutdatedServers() {
        return streamOutdated().findAny().isPresent();
    }

    /** Returns the servers that are not leaving and have older weights than the published ones. */
    List<ServerState> outdatedServers() {
        return streamOutdated().distinct().toList();
    }

    private Stream<ServerState> streamOutdated() {
        return state.publishedWeights().entrySet().stream()
                .flatMap(entry -> modelServers(entry.getKey()).stream()
                        .filter(server -> !server.server().leaving())
                        .filter(server -> isOutdated(server, entry.getKey(), entry.getValue())));
    }

    /**
     * Returns the intents of the orders to issue next, for all models.
     *
     * @param term the term in which the orders will be issued
     * @param pendingServers the ids of the servers with an order of this host that has not ended
     * @param loadEstimate how long one server takes to drain and load
     * @param storeNowMillis the current time, in milliseconds on the store's clock
     */
    List<OrderIntent> planOrders(
            LeaseTerm term, Set<String> pendingServers, LoadEstimate loadEstimate, long storeNowMillis) {
        return state.publishedWeights().entrySet().stream()
                .flatMap(entry ->
                        planModelOrders(
                                entry.getKey(), entry.getValue(), term, pendingServers, loadEstimate, storeNowMillis)
                                .stream())
                .toList();
    }

    /**
     * Plans the orders for one model. A server that counts as loading by an earlier order may be chosen as well: its
     * report says whether it still is.
     */
    private List<OrderIntent> planModelOrders(
            String model,
            int version,
            LeaseTerm term,
            Set<String> pendingServers,
            LoadEstimate loadEstimate,
            long storeNowMillis) {
        List<ServerState> servers = modelServers(model);
        List<ServerState> candidates = servers.stream()
                .filter(server -> !server.server().leaving())
                .filter(server -> isOutdated(server, model, version))
                .filter(server -> !pendingServers.contains(server.server().id()))
                .filter(server -> !server.reachability().isSuspended(clock.nanos()))
                .filter(server -> !server.pause().isPaused(clock.nanos()))
                .filter(server -> known.allowsOrder(server.server().id(), term))
                .toList();
        List<String> loadingDomains = servers.stream()
                .filter(server -> !candidates.contains(server))
                .filter(server -> pendingServers.contains(server.server().id()) || server.isLoading(clock.nanos()))
                .map(server -> server.server().failureDomain())
                .toList();
        List<RolloutCandidate> outdated =
                candidates.stream().map(server -> candidate(server, model)).toList();
        List<RolloutCandidate> chosen =
                RolloutPlan.selectServers(outdated, loadingDomains, servers.size(), loadEstimate);
        if (!chosen.isEmpty()) {
            logPlan(model, version, servers.size(), loadingDomains.size(), chosen, loadEstimate);
        }
        return chosen.stream()
                .map(candidate -> new OrderIntent(
                        new OrderKey(candidate.server(), term.fencingToken(), known.nextOrderVersion()),
                        model,
                        version,
                        host,
                        storeNowMillis,
                        OrderProgress.ISSUED))
                .toList();
    }

    private static void logPlan(
            String model,
            int version,
            int serverCount,
            int loadingCount,
            List<RolloutCandidate> chosen,
            LoadEstimate loadEstimate) {
        LogEvent.of("rollout_planned")
                .with("model", model)
                .with("version", version)
                .with("servers", serverCount)
                .with("loading", loadingCount)
                .with("ordered", chosen.size())
                .with("time_left_ms", leastMillis(chosen, RolloutCandidate::timeLeft))
                .with("completion_left_ms", leastMillis(chosen, RolloutCandidate::completionTimeLeft))
                .with("load_ms", loadEstimate.atLeast().toMillis())
                .with("expected_load_ms", loadEstimate.expected().toMillis())
                .info();
    }

    private static long leastMillis(List<RolloutCandidate> chosen, Function<RolloutCandidate, Duration> timeLeft) {
        return chosen.stream().map(timeLeft).mapToLong(Duration::toMillis).min().orElse(0);
    }

    private RolloutCandidate candidate(ServerState server, String model) {
        int loadedVersion = server.weightsVersion(model).orElse(0);
        return new RolloutCandidate(
                server.server().id(),
                server.server().failureDomain(),
                loadedVersion,
                server.totalLoad().running(),
                state.weightsTimeLeft(model, loadedVersion, times.maxStaleness()),
                state.weightsTimeLeft(model, loadedVersion, times.maxCompletionTime()));
    }

    private static boolean isOutdated(ServerState server, String model, int version) {
        return server.weightsVersion(model).orElse(0) < version;
    }

    private List<ServerState> modelServers(String model) {
        return state.directory().all().stream()
                .filter(server -> server.hasModel(model))
                .toList();
    }
}
