package org.geraniumford.daemon.weights;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.geraniumford.core.fleet.ServerState;
import org.geraniumford.core.time.LocalClock;
import org.geraniumford.core.weights.LeaseTerm;
import org.geraniumford.core.weights.OrderIntent;
import org.geraniumford.core.weights.OrderKey;
import org.geraniumford.core.weights.OrderProgress;
import org.geraniumford.core.weights.RolloutCandidate;
import org.geraniumford.core.weights.RolloutPlan;
import org.geraniumford.daemon.gateway.GatewayState;

/** Determines which servers have outdated weights and which of them are ordered next. Changes nothing. */
final class OrderPlanner {
    private final String host;
    private final GatewayState state;
    private final KnownLease known;
    private final LocalClock clock;
    private final Duration maxStaleness;

    /**
     * Creates a planner.
     *
     * @param host the name of this host, the holder in the planned intents
     * @param state the servers and the published weights
     * @param known the lease, with the orders of other terms
     * @param clock the local clock
     * @param maxStaleness how long after the publication of newer weights requests are sent to servers with older ones
     */
    OrderPlanner(String host, GatewayState state, KnownLease known, LocalClock clock, Duration maxStaleness) {
        this.host = host;
        this.state = state;
        this.known = known;
        this.clock = clock;
        this.maxStaleness = maxStaleness;
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
     * @param loadTime how long one server takes to drain and load
     * @param storeNowMillis the current time, in milliseconds on the store's clock
     */
    List<OrderIntent> planOrders(LeaseTerm term, Set<String> pendingServers, Duration loadTime, long storeNowMillis) {
        return state.publishedWeights().entrySet().stream()
                .flatMap(entry ->
                        planModelOrders(
                                entry.getKey(), entry.getValue(), term, pendingServers, loadTime, storeNowMillis)
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
            Duration loadTime,
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
        return RolloutPlan.selectServers(outdated, loadingDomains, servers.size(), loadTime).stream()
                .map(candidate -> new OrderIntent(
                        new OrderKey(candidate.server(), term.fencingToken(), known.nextOrderVersion()),
                        model,
                        version,
                        host,
                        storeNowMillis,
                        OrderProgress.ISSUED))
                .toList();
    }

    private RolloutCandidate candidate(ServerState server, String model) {
        int loadedVersion = server.weightsVersion(model).orElse(0);
        return new RolloutCandidate(
                server.server().id(),
                server.server().failureDomain(),
                loadedVersion,
                server.totalLoad().running(),
                state.weightsTimeLeft(model, loadedVersion, maxStaleness));
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
