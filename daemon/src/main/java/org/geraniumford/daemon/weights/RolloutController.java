package org.geraniumford.daemon.weights;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.geraniumford.core.weights.IssueWindow;
import org.geraniumford.core.weights.LeaseSnapshot;
import org.geraniumford.core.weights.OrderIntent;
import org.geraniumford.core.weights.WeightsLease;
import org.geraniumford.daemon.gateway.GatewayState;
import org.geraniumford.transport.log.LogEvent;

/**
 * Rolls out newly published weights to the engines, a few at a time. Every entry runs a controller; the weights lease,
 * one row of the store, ensures that only one of them acts. Runs on one network thread.
 */
public final class RolloutController {
    /** How long a holder may leave the row unwritten, while servers are outdated, before another entry takes over. */
    private static final Duration LEASE_TIMEOUT = Duration.ofSeconds(2);

    /** How often a holder writes the row while servers are outdated. */
    private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(900);

    /** The upper bound of the random delay before an entry takes over the lease, so that one of them writes first. */
    private static final Duration MAX_TAKEOVER_JITTER = Duration.ofMillis(600);

    /** How long a server is avoided after an order if nothing newer is known about it. */
    private static final Duration ESTIMATED_LOADING_TIME = Duration.ofSeconds(5);

    /** How long a lease that is not renewed is announced to peers. */
    private static final Duration LEASE_GOSSIP_LIFETIME = Duration.ofSeconds(6);

    /**
     * Added to {@link #WRITE_INTERVAL} after a failed read or write of the row. If the failed write took effect after
     * all, the next write finds another version, and the row is read again.
     */
    private static final Duration WRITE_BACKOFF = Duration.ofSeconds(1);

    /** Longer than any call of the store takes until it succeeds or fails. */
    private static final Duration STORE_CALL_LIFETIME = Duration.ofSeconds(5);

    /** The minimum time between two writes of the row. */
    private static final Duration WRITE_INTERVAL = Duration.ofMillis(250);

    private final String host;
    private final GatewayState state;
    private final LeaseStore leaseStore;
    /**
     * The minimum time between an intent of another holder and an intent of this one for the same server. It is longer
     * than the handover delay, because the earlier order may be issued until the end of its issue window. Includes a
     * margin of 500 ms.
     */
    private final Duration orderSpacing;

    private final OrderPlanner planner;
    private final PendingOrders pendingOrders;
    private final RandomGenerator random;

    private WeightsLease lease = WeightsLease.empty();
    private long rowVersion;
    /** Whether the row was read after this host last decided to take over the lease. */
    private boolean rowRead;

    private boolean storeCallPending;

    /** When the last read or write of the row began. */
    private long storeCallNanos;

    private boolean stopped;
    /** When this host may take over the lease, from {@link System#nanoTime}, if a takeover is pending. */
    private long takeoverNanos;

    private boolean takeoverPending;
    /**
     * When the last write of the row began, from {@link System#nanoTime}. After a failed read or write, a time later by
     * {@link #WRITE_BACKOFF}, which delays the next read or write.
     */
    private long lastWriteNanos;

    private RolloutController(
            String host,
            GatewayState state,
            LeaseStore leaseStore,
            EngineAdmin engines,
            Duration leaseHandoverDelay,
            Duration maxStaleness,
            RandomGenerator random) {
        this.host = host;
        this.state = state;
        this.leaseStore = leaseStore;
        this.orderSpacing = leaseHandoverDelay.plus(PendingOrder.ISSUE_WINDOW).plusMillis(500);
        this.planner = new OrderPlanner(host, state, orderSpacing, maxStaleness);
        this.pendingOrders = new PendingOrders(state, leaseStore, engines, this::holdsLease);
        this.random = random;
    }

    // -- construction

    /**
     * Creates a controller.
     *
     * @param host the name of this host
     * @param state the servers and the published weights
     * @param leaseStore the row that holds the weights lease
     * @param engines the client that sends orders to engines
     * @param leaseHandoverDelay the time that must pass between orders of two holders to one server
     * @param maxStaleness how long after the publication of newer weights requests are sent to servers with older ones
     * @param random the source of the random delay before a takeover
     * @return a controller that acts on {@link #tick}
     */
    public static RolloutController of(
            String host,
            GatewayState state,
            LeaseStore leaseStore,
            EngineAdmin engines,
            Duration leaseHandoverDelay,
            Duration maxStaleness,
            RandomGenerator random) {
        return new RolloutController(
                requireNonNull(host, "host is null"),
                requireNonNull(state, "state is null"),
                requireNonNull(leaseStore, "leaseStore is null"),
                requireNonNull(engines, "engines is null"),
                requireNonNull(leaseHandoverDelay, "leaseHandoverDelay is null"),
                requireNonNull(maxStaleness, "maxStaleness is null"),
                requireNonNull(random, "random is null"));
    }

    // -- events

    /**
     * Applies the lease row if it is newer than the known one and can be read.
     *
     * @param snapshot the row as a peer announced it
     */
    public void applyLeaseSnapshot(LeaseSnapshot snapshot) {
        if (snapshot.version() > rowVersion) {
            WeightsLease.decode(snapshot.encodedLease())
                    .ifPresent(newLease -> adoptLease(newLease, snapshot.version()));
        }
    }

    /** Applies the row as the store returned it, so that the next write expects its version whatever it holds. */
    private void applyRow(LeaseSnapshot row) {
        if (row.isEmpty()) {
            rowVersion = 0;
        } else if (row.version() > rowVersion) {
            adoptLease(readLease(row), row.version());
        }
    }

    private WeightsLease readLease(LeaseSnapshot row) {
        return WeightsLease.decode(row.encodedLease()).orElseGet(() -> {
            LogEvent.of("lease_unreadable")
                    .with("row", row.version())
                    .with("value", LogEvent.limited(row.encodedLease()))
                    .warn();
            return WeightsLease.ofUnreadableRow(row.version(), leaseStore.nowMillis());
        });
    }

    private void adoptLease(WeightsLease newLease, long newRowVersion) {
        lease = newLease;
        rowVersion = newRowVersion;
        if (!newLease.holder().equals(host)) {
            pendingOrders.clear();
        }
        newLease.intents().forEach(this::applyIntent);
    }

    /**
     * Records the weights of a completed intent. Marks the server of a recent intent that is not completed as loading,
     * so that requests avoid it.
     */
    private void applyIntent(OrderIntent intent) {
        state.directory().find(intent.server()).ifPresent(server -> {
            long ageMillis = leaseStore.nowMillis() - intent.recordedMillis();
            if (intent.done()) {
                server.recordWeightsVersion(intent.model(), intent.version());
            } else if (ageMillis < ESTIMATED_LOADING_TIME.toMillis()
                    && server.weightsVersion(intent.model()).orElse(0) < intent.version()) {
                server.markLoading(System.nanoTime()
                        + ESTIMATED_LOADING_TIME
                                .minusMillis(Math.max(0, ageMillis))
                                .toNanos());
            }
        });
    }

    // -- queries

    /**
     * Returns the lease row to announce to peers.
     *
     * @return the row if it was renewed within the last 6 s, else an empty snapshot
     */
    public LeaseSnapshot leaseGossip() {
        boolean current = leaseStore.nowMillis() - lease.renewedMillis() < LEASE_GOSSIP_LIFETIME.toMillis();
        return current ? new LeaseSnapshot(rowVersion, lease.encode()) : LeaseSnapshot.empty();
    }

    private boolean holdsLease() {
        return lease.holder().equals(host);
    }

    private boolean isHolderAlive() {
        return lease.isOfUnknownHolder() || state.isPeerAlive(lease.holder());
    }

    // -- commands

    /**
     * Stops issuing orders. If this host holds the lease and servers are still outdated, releases the lease, so that
     * another entry can take over. Called before the process ends.
     */
    public void stop() {
        stopped = true;
        if (holdsLease() && planner.hasOutdatedServers()) {
            leaseStore
                    .write(rowVersion, lease.released())
                    .whenComplete((newRowVersion, failure) -> LogEvent.of("lease_released")
                            .with("outcome", failure == null ? newRowVersion : failure)
                            .info());
        }
    }

    /** Polls the pending orders and issues new ones as needed. Must be called several times a second. */
    public void tick() {
        if (stopped) {
            return;
        }
        pendingOrders.poll();
        dropLostStoreCall(System.nanoTime());
        boolean hasOutdatedServers = planner.hasOutdatedServers();
        boolean hasCompletedIntents = !pendingOrders.completedIntents().isEmpty();
        if (!storeCallPending && (hasOutdatedServers || hasCompletedIntents)) {
            reconcile();
        } else if (!hasOutdatedServers) {
            takeoverPending = false;
        }
    }

    /**
     * Renews the lease and writes intents if this host holds it. Otherwise takes it over once it is not fresh or its
     * holder is not alive: waits for a random delay, reads the row, and then writes it.
     */
    private void reconcile() {
        long nowNanos = System.nanoTime();
        boolean holdsLease = holdsLease();
        if (!holdsLease && lease.isFresh(leaseStore.nowMillis(), LEASE_TIMEOUT) && isHolderAlive()) {
            takeoverPending = false;
            return;
        }
        if (!holdsLease && !takeoverPending) {
            takeoverPending = true;
            rowRead = false;
            takeoverNanos = nowNanos + (long) (MAX_TAKEOVER_JITTER.toNanos() * random.nextDouble());
        }
        if ((!holdsLease && nowNanos - takeoverNanos < 0) || nowNanos - lastWriteNanos < WRITE_INTERVAL.toNanos()) {
            return;
        }
        if (holdsLease || rowRead) {
            writeIntents(nowNanos);
        } else {
            readRow();
        }
    }

    private void markStoreCall(long nowNanos) {
        storeCallPending = true;
        storeCallNanos = nowNanos;
    }

    /** Gives up a call of the store whose result was never handled, so that this controller goes on. */
    private void dropLostStoreCall(long nowNanos) {
        if (storeCallPending && nowNanos - storeCallNanos > STORE_CALL_LIFETIME.toNanos()) {
            storeCallPending = false;
            rowRead = false;
            LogEvent.of("lease_call_lost").with("row", rowVersion).warn();
        }
    }

    private void readRow() {
        markStoreCall(System.nanoTime());
        leaseStore.read().whenComplete((snapshot, failure) -> {
            storeCallPending = false;
            rowRead = failure == null;
            if (failure == null) {
                applyRow(snapshot);
            } else {
                lastWriteNanos = System.nanoTime() + WRITE_BACKOFF.toNanos();
                LogEvent.of("lease_unread").with("cause", failure).info();
            }
        });
    }

    private void writeIntents(long nowNanos) {
        long storeNowMillis = leaseStore.nowMillis();
        List<OrderIntent> orders =
                planner.planOrders(lease, pendingOrders.servers(), pendingOrders.loadTime(), storeNowMillis);
        List<OrderIntent> completedIntents = pendingOrders.completedIntents();
        boolean renewalDue = storeNowMillis - lease.renewedMillis() > RENEWAL_INTERVAL.toMillis();
        if (completedIntents.isEmpty() && orders.isEmpty() && !(renewalDue && holdsLease())) {
            return;
        }
        List<OrderIntent> intents = new ArrayList<>(completedIntents);
        intents.addAll(pendingOrders.renewedIntents(storeNowMillis));
        intents.addAll(orders);
        WeightsLease renewedLease =
                lease.renewedBy(host, storeNowMillis, intents, orderSpacing.plus(ESTIMATED_LOADING_TIME));
        IssueWindow issueWindow =
                IssueWindow.startingAt(nowNanos, System.currentTimeMillis(), PendingOrder.ISSUE_WINDOW);
        if (!holdsLease()) {
            logTakeover(renewedLease);
        }
        markStoreCall(nowNanos);
        lastWriteNanos = nowNanos;
        leaseStore.write(rowVersion, renewedLease).whenComplete((newRowVersion, failure) -> {
            storeCallPending = false;
            if (failure != null) {
                lastWriteNanos = nowNanos + WRITE_BACKOFF.toNanos();
                LogEvent.of("lease_unknown").with("cause", failure).info();
            } else if (newRowVersion.isEmpty()) {
                LogEvent.of("lease_lost")
                        .with("fence", renewedLease.fencingToken())
                        .info();
                takeoverPending = false;
                readRow();
            } else {
                pendingOrders.dropCompleted(completedIntents.size());
                issueOrders(renewedLease, newRowVersion, orders, issueWindow);
            }
        });
    }

    private void logTakeover(WeightsLease renewedLease) {
        LogEvent.of("lease_takeover")
                .with("fence", renewedLease.fencingToken())
                .with("row", rowVersion)
                .with("from", lease.holder())
                .with("renewed_ms", lease.renewedMillis())
                .with("now_ms", renewedLease.renewedMillis())
                .with("intents", lease.intents())
                .info();
    }

    private void issueOrders(
            WeightsLease renewedLease, OptionalLong newRowVersion, List<OrderIntent> orders, IssueWindow issueWindow) {
        adoptLease(renewedLease, newRowVersion.getAsLong());
        LogEvent.of("lease_written")
                .with("fence", renewedLease.fencingToken())
                .with("orders", orders.size())
                .info();
        orders.forEach(order -> pendingOrders.issue(order, renewedLease.fencingToken(), issueWindow));
    }
}
