package org.geraniumford.daemon.weights;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.geraniumford.core.fleet.ServerState;
import org.geraniumford.core.weights.LeaseSnapshot;
import org.geraniumford.core.weights.OrderIntent;
import org.geraniumford.core.weights.RolloutCandidate;
import org.geraniumford.core.weights.RolloutPlan;
import org.geraniumford.core.weights.WeightsLease;
import org.geraniumford.daemon.gateway.GatewayState;
import org.geraniumford.transport.log.LogEvent;

/**
 * Has engines load newly named weights, a few at a time. Every entry runs one; the lease row lets one of them act. Runs
 * on one network thread.
 */
public final class RolloutController {
    /** How long a holder may leave the row unwritten while servers are outdated before another entry takes over. */
    private static final Duration LEASE_TIMEOUT = Duration.ofSeconds(2);

    /** How often a holder writes the row while servers are outdated. */
    private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(900);

    /** The spread over which entries begin, so that one of them writes first. */
    private static final Duration START_JITTER = Duration.ofMillis(600);

    /** How long servers are avoided after an order if nothing else is heard of them. */
    private static final Duration ESTIMATED_LOADING_TIME = Duration.ofSeconds(5);

    /** How long peers are told of a lease that is not renewed. */
    private static final Duration LEASE_GOSSIP_LIFETIME = Duration.ofSeconds(6);

    /** The pause after a write whose outcome is unknown, in which the feed tells of the row. */
    private static final Duration WRITE_BACKOFF = Duration.ofSeconds(1);

    private static final Duration WRITE_INTERVAL = Duration.ofMillis(250);

    private final String host;
    private final GatewayState state;
    private final LeaseStore leaseStore;
    private final EngineAdmin engines;
    private final Duration orderSpacing;
    private final RandomGenerator random;
    private final Map<String, PendingOrder> pendingOrders = new HashMap<>();
    private final List<OrderIntent> completedIntents = new ArrayList<>();
    private WeightsLease lease = WeightsLease.empty();
    private long leaseVersion;
    private boolean rowRead;
    private boolean storeCallPending;
    private boolean stopped;
    private long takeoverNanos;
    private boolean takeoverPending;
    private long lastWriteNanos;

    private RolloutController(
            String host,
            GatewayState state,
            LeaseStore row,
            EngineAdmin engines,
            Duration leaseBound,
            RandomGenerator random) {
        this.host = host;
        this.state = state;
        this.leaseStore = row;
        this.engines = engines;
        this.orderSpacing = leaseBound.plus(PendingOrder.ISSUE_WINDOW).plusMillis(500);
        this.random = random;
    }

    // -- construction

    /**
     * Creates a keeper.
     *
     * @param host the name of this host
     * @param state tells of servers and named weights
     * @param row the lease
     * @param engines takes orders
     * @param leaseBound the time that must pass between orders of two holders to one server
     * @param random spreads the entries
     * @return a keeper that acts on {@link #tick}
     */
    public static RolloutController of(
            String host,
            GatewayState state,
            LeaseStore row,
            EngineAdmin engines,
            Duration leaseBound,
            RandomGenerator random) {
        return new RolloutController(
                requireNonNull(host, "host is null"),
                requireNonNull(state, "state is null"),
                requireNonNull(row, "row is null"),
                requireNonNull(engines, "engines is null"),
                requireNonNull(leaseBound, "leaseBound is null"),
                requireNonNull(random, "random is null"));
    }

    // -- events

    /**
     * Takes the lease row as a peer tells of it.
     *
     * @param notice the row
     */
    public void applyLeaseSnapshot(LeaseSnapshot notice) {
        if (notice.version() > leaseVersion) {
            WeightsLease.decode(notice.encodedLease()).ifPresent(newer -> adoptLease(newer, notice.version()));
        }
    }

    private void adoptLease(WeightsLease newer, long version) {
        lease = newer;
        leaseVersion = version;
        if (!newer.holder().equals(host)) {
            pendingOrders.clear();
            completedIntents.clear();
        }
        newer.intents().forEach(this::applyIntent);
    }

    /** Servers are avoided from the record of an order until they hold the weights. */
    private void applyIntent(OrderIntent intent) {
        state.directory().find(intent.server()).ifPresent(server -> {
            long age = leaseStore.nowMillis() - intent.recordedMillis();
            if (intent.done()) {
                server.recordWeightsVersion(intent.model(), intent.version());
            } else if (age < ESTIMATED_LOADING_TIME.toMillis()
                    && server.weightsVersion(intent.model()).orElse(0) < intent.version()) {
                server.markLoading(System.nanoTime()
                        + ESTIMATED_LOADING_TIME.minusMillis(Math.max(0, age)).toNanos());
            }
        });
    }

    // -- queries

    /**
     * Returns what peers are told of the lease.
     *
     * @return the row while it is recent, else an empty notice
     */
    public LeaseSnapshot leaseGossip() {
        boolean recent = leaseStore.nowMillis() - lease.renewedMillis() < LEASE_GOSSIP_LIFETIME.toMillis();
        return recent ? new LeaseSnapshot(leaseVersion, lease.encode()) : LeaseSnapshot.empty();
    }

    // -- commands

    /** Gives no further orders, as before the process ends, and lets another entry hold the lease. */
    public void stop() {
        stopped = true;
        if (lease.holder().equals(host) && !outdatedServers().isEmpty()) {
            leaseStore
                    .write(leaseVersion, lease.released())
                    .whenComplete((version, failure) -> LogEvent.of("lease_released")
                            .with("outcome", failure == null ? version : failure)
                            .info());
        }
    }

    /** Does what is due. To be called several times a second. */
    public void tick() {
        if (stopped) {
            return;
        }
        pendingOrders.values().removeIf(PendingOrder::isFinished);
        pendingOrders.values().forEach(PendingOrder::poll);
        if (!storeCallPending && (!outdatedServers().isEmpty() || !completedIntents.isEmpty())) {
            reconcile();
        } else if (outdatedServers().isEmpty()) {
            takeoverPending = false;
        }
    }

    private void reconcile() {
        long now = System.nanoTime();
        boolean own = lease.holder().equals(host);
        if (!own && lease.isFresh(leaseStore.nowMillis(), LEASE_TIMEOUT) && state.isPeerAlive(lease.holder())) {
            takeoverPending = false;
            return;
        }
        if (!own && !takeoverPending) {
            takeoverPending = true;
            rowRead = false;
            takeoverNanos = now + (long) (START_JITTER.toNanos() * random.nextDouble());
        }
        if ((!own && now - takeoverNanos < 0) || now - lastWriteNanos < WRITE_INTERVAL.toNanos()) {
            return;
        }
        if (own || rowRead) {
            writeIntents(now);
        } else {
            readRow();
        }
    }

    private void readRow() {
        storeCallPending = true;
        leaseStore.read().whenComplete((notice, failure) -> {
            storeCallPending = false;
            rowRead = failure == null;
            if (failure == null) {
                applyLeaseSnapshot(notice);
            } else {
                lastWriteNanos = System.nanoTime() + WRITE_BACKOFF.toNanos();
                LogEvent.of("lease_unread").with("cause", failure).info();
            }
        });
    }

    private void writeIntents(long nowNanos) {
        long storeNow = leaseStore.nowMillis();
        List<OrderIntent> orders = state.publishedWeights().entrySet().stream()
                .flatMap(named -> planOrders(named.getKey(), named.getValue(), storeNow).stream())
                .toList();
        List<OrderIntent> written = new ArrayList<>(completedIntents);
        written.addAll(orders);
        boolean renewalDue = storeNow - lease.renewedMillis() > RENEWAL_INTERVAL.toMillis();
        if (written.isEmpty() && !(renewalDue && lease.holder().equals(host))) {
            return;
        }
        WeightsLease next = lease.renewedBy(host, storeNow, written, orderSpacing.plus(ESTIMATED_LOADING_TIME));
        int reported = completedIntents.size();
        storeCallPending = true;
        lastWriteNanos = nowNanos;
        leaseStore.write(leaseVersion, next).whenComplete((version, failure) -> {
            storeCallPending = false;
            if (failure != null) {
                lastWriteNanos = nowNanos + WRITE_BACKOFF.toNanos();
                LogEvent.of("lease_unknown").with("cause", failure).info();
            } else if (version.isEmpty()) {
                LogEvent.of("lease_lost").with("fence", next.fencingToken()).info();
                takeoverPending = false;
                readRow();
            } else {
                completedIntents
                        .subList(0, Math.min(reported, completedIntents.size()))
                        .clear();
                issueOrders(next, version, orders, nowNanos);
            }
        });
    }

    private void issueOrders(WeightsLease next, OptionalLong version, List<OrderIntent> orders, long writtenNanos) {
        adoptLease(next, version.getAsLong());
        LogEvent.of("lease_written")
                .with("fence", next.fencingToken())
                .with("orders", orders.size())
                .info();
        orders.forEach(order -> state.directory().find(order.server()).ifPresent(server -> {
            PendingOrder giving = new PendingOrder(
                    server,
                    order,
                    next.fencingToken(),
                    writtenNanos,
                    engines,
                    () -> lease.holder().equals(host),
                    completedIntents::add);
            pendingOrders.put(order.server(), giving);
            giving.start();
        }));
    }

    // -- planning

    private List<ServerState> outdatedServers() {
        return state.publishedWeights().entrySet().stream()
                .flatMap(named -> modelServers(named.getKey()).stream()
                        .filter(server -> server.weightsVersion(named.getKey()).orElse(0) < named.getValue()))
                .filter(server -> !server.server().leaving())
                .toList();
    }

    private List<ServerState> modelServers(String model) {
        return state.directory().all().stream()
                .filter(server -> server.hasModel(model))
                .toList();
    }

    private List<OrderIntent> planOrders(String model, int version, long storeNow) {
        List<ServerState> holding = modelServers(model);
        List<RolloutCandidate> candidates = holding.stream()
                .filter(server -> !server.server().leaving())
                .filter(server -> server.weightsVersion(model).orElse(0) < version)
                .filter(server -> !pendingOrders.containsKey(server.server().id()))
                .filter(server ->
                        !server.reachability().isSuspended(System.nanoTime()) && !server.isLoading(System.nanoTime()))
                .filter(server -> lease.canOrder(server.server().id(), host, storeNow, orderSpacing))
                .map(server -> new RolloutCandidate(
                        server.server().id(),
                        server.server().failureDomain(),
                        server.weightsVersion(model).orElse(0),
                        server.totalLoad().running()))
                .toList();
        List<String> loading = holding.stream()
                .filter(server ->
                        pendingOrders.containsKey(server.server().id()) || server.isLoading(System.nanoTime()))
                .map(server -> server.server().failureDomain())
                .toList();
        return RolloutPlan.selectServers(candidates, loading, holding.size()).stream()
                .map(chosen -> new OrderIntent(chosen.server(), model, version, host, storeNow, false))
                .toList();
    }
}
