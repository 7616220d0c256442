package org.geraniumford.daemon.weights;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.geraniumford.core.time.LocalClock;
import org.geraniumford.core.weights.IssueWindow;
import org.geraniumford.core.weights.LeaseSnapshot;
import org.geraniumford.core.weights.LeaseTerm;
import org.geraniumford.core.weights.OrderIntent;
import org.geraniumford.core.weights.OrderProgress;
import org.geraniumford.core.weights.OrderSpacing;
import org.geraniumford.core.weights.WeightsLease;
import org.geraniumford.daemon.gateway.GatewayState;
import org.geraniumford.transport.log.LogEvent;

/**
 * Rolls out newly published weights to the engines, a few at a time. Every entry runs a controller; the weights lease,
 * one row of the store, ensures that only one of them acts. Runs on one network thread.
 */
public final class RolloutController {
    /** How often a holder writes the row while servers are outdated. */
    private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(900);

    /** How long a server is avoided after an order if nothing newer is known about it. */
    private static final Duration ESTIMATED_LOADING_TIME = Duration.ofSeconds(5);

    /**
     * Added to {@link #WRITE_INTERVAL} after a failed read or write of the row. If the failed write took effect after
     * all, the next write finds another version, and the row is read again.
     */
    private static final Duration WRITE_BACKOFF = Duration.ofSeconds(1);

    /** Longer than any call of the store takes until it succeeds or fails. */
    private static final Duration STORE_CALL_LIFETIME = Duration.ofSeconds(5);

    /** The minimum time between two writes of the row. */
    private static final Duration WRITE_INTERVAL = Duration.ofMillis(250);

    /** Covers the drift between the clocks of two hosts during the spacing of orders. */
    private static final Duration SPACING_MARGIN = Duration.ofMillis(200);

    /** How much longer than the spacing of orders a holder that has released the lease leaves it to others. */
    private static final Duration TAKEOVER_TIME = Duration.ofSeconds(2);

    private final String host;
    private final GatewayState state;
    private final LeaseStore leaseStore;
    private final LocalClock clock;
    private final KnownLease known;
    private final OrderPlanner planner;
    private final PendingOrders pendingOrders;
    private final HeldBackServers heldBackServers;
    private final TakeoverDelay takeoverDelay;

    /** Whether the row was read after this process last decided to take over the lease. */
    private boolean rowRead;

    private boolean storeCallPending;

    /** When the last read or write of the row began. */
    private long storeCallNanos;

    /** How long a holder that has released the lease leaves it to others, which wait for the end of the spacing. */
    private final Duration releaseTime;

    private final WriteOutcomes writes = WriteOutcomes.none();

    /** Whether this process leaves the lease to others, and since when, from {@link LocalClock#nanos}. */
    private boolean leftToOthers;

    private long releasedNanos;

    private boolean stopped;

    /**
     * When the last write of the row began, from {@link LocalClock#nanos}. After a failed read or write, a time later
     * by {@link #WRITE_BACKOFF}, which delays the next read or write.
     */
    private long lastWriteNanos;

    private RolloutController(
            String host,
            GatewayState state,
            LeaseStore leaseStore,
            EngineAdmin engines,
            RolloutTimes times,
            LocalClock clock,
            RandomGenerator random) {
        this.host = host;
        this.state = state;
        this.leaseStore = leaseStore;
        this.clock = clock;
        this.takeoverDelay = TakeoverDelay.of(random);
        OrderSpacing orderSpacing = new OrderSpacing(
                PendingOrder.ISSUE_WINDOW.plus(EngineAdmin.DELIVERY_TIME),
                times.leaseHandoverDelay().plus(SPACING_MARGIN));
        this.releaseTime = orderSpacing.total().plus(TAKEOVER_TIME);
        this.known =
                new KnownLease(host, Long.toHexString(random.nextLong()), clock, orderSpacing, ESTIMATED_LOADING_TIME);
        this.planner = new OrderPlanner(host, state, known, clock, times.maxStaleness());
        this.pendingOrders = new PendingOrders(state, engines, clock, token -> !stopped && known.isTerm(token));
        this.heldBackServers = new HeldBackServers(state, engines, known, clock);
    }

    // -- construction

    /**
     * Creates a controller.
     *
     * @param host the name of this host
     * @param state the servers and the published weights
     * @param leaseStore the row that holds the weights lease
     * @param engines the client that sends orders to engines
     * @param times the bounds that the rollout must keep
     * @param clock the clocks of this process
     * @param random the source of this process's identity and of the random delay before a takeover
     * @return a controller that acts on {@link #tick}
     */
    public static RolloutController of(
            String host,
            GatewayState state,
            LeaseStore leaseStore,
            EngineAdmin engines,
            RolloutTimes times,
            LocalClock clock,
            RandomGenerator random) {
        return new RolloutController(
                requireNonNull(host, "host is null"),
                requireNonNull(state, "state is null"),
                requireNonNull(leaseStore, "leaseStore is null"),
                requireNonNull(engines, "engines is null"),
                requireNonNull(times, "times is null"),
                requireNonNull(clock, "clock is null"),
                requireNonNull(random, "random is null"));
    }

    // -- events

    /**
     * Applies the lease row if it is newer than the known one and can be read.
     *
     * @param snapshot the row as a peer announced it
     */
    public void applyLeaseSnapshot(LeaseSnapshot snapshot) {
        if (known.applyGossip(snapshot)) {
            leaseChanged();
        }
    }

    /** Has the row read again, because the store has come back from a copy that may lack its last values. */
    public void storeCameBack() {
        known.requireRead();
    }

    private void leaseChanged() {
        if (!known.isOwn()) {
            pendingOrders.clear();
        }
        known.lease().intents().forEach(this::applyIntent);
    }

    /**
     * Records the weights of a completed intent. Marks the server of a recent intent that is not completed as loading,
     * so that requests avoid it, unless this process has issued the intent and knows that its order has ended.
     */
    private void applyIntent(OrderIntent intent) {
        state.directory().find(intent.server()).ifPresent(server -> {
            long ageMillis = leaseStore.nowMillis() - intent.recordedMillis();
            boolean ended = known.isTerm(intent.key().fencingToken())
                    && !pendingOrders.servers().contains(intent.server());
            if (intent.progress() == OrderProgress.DONE) {
                server.recordWeightsVersion(intent.model(), intent.version());
            } else if (!ended
                    && ageMillis < ESTIMATED_LOADING_TIME.toMillis()
                    && server.weightsVersion(intent.model()).orElse(0) < intent.version()) {
                server.markLoading(clock.nanos()
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
     * @return the row if it has changed within the last 6 s, else an empty snapshot
     */
    public LeaseSnapshot leaseGossip() {
        return known.gossip();
    }

    /** Returns whether the holder may still act; another process of this host may be one that has not ended yet. */
    private boolean isHolderAlive() {
        LeaseTerm term = known.lease().term();
        return term.isOfUnknownHolder() || term.holder().equals(host) || state.isPeerAlive(term.holder());
    }

    // -- commands

    /**
     * Stops issuing orders. If this host holds the lease and servers are still outdated, releases the lease, so that
     * another entry can take over. Called before the process ends.
     */
    public void stop() {
        stopped = true;
        if (known.isOwn() && planner.hasOutdatedServers()) {
            release();
        }
    }

    /** Writes the lease as released, so that any other entry can take it. */
    private void release() {
        WeightsLease released = known.released();
        markStoreCall();
        lastWriteNanos = storeCallNanos;
        leftToOthers = true;
        releasedNanos = storeCallNanos;
        leaseStore.write(known.versions(), released).whenComplete((newRowVersion, failure) -> {
            storeCallPending = false;
            if (failure == null && newRowVersion.isPresent()) {
                known.applyWritten(released, newRowVersion.getAsLong());
            }
            LogEvent.of("lease_released")
                    .with("late_writes", writes.late())
                    .with("failed_writes", writes.failed())
                    .with("reaches_no_server", pendingOrders.reachesNoServer())
                    .with("outcome", failure == null ? newRowVersion : failure)
                    .info();
            writes.clear();
            pendingOrders.clear();
        });
    }

    /** Polls the pending orders and issues new ones as needed. Must be called several times a second. */
    public void tick() {
        if (stopped) {
            return;
        }
        pendingOrders.poll();
        askAsHolder();
        dropLostStoreCall(clock.nanos());
        boolean mustHoldLease = planner.hasOutdatedServers() || known.isRowToWrite();
        boolean hasCompletedIntents = !pendingOrders.completedIntents().isEmpty();
        if (!mustHoldLease) {
            takeoverDelay.cancel();
        }
        if (storeCallPending || clock.nanos() - lastWriteNanos < WRITE_INTERVAL.toNanos()) {
            return;
        }
        if (known.isReadRequired()) {
            readRow();
        } else if (mustHoldLease || hasCompletedIntents) {
            reconcile();
        }
    }

    /**
     * Renews the lease and writes intents if this process holds it. Otherwise takes it over once it is not fresh or its
     * holder is not alive: waits for a random delay, reads the row, and then writes it.
     */
    private void reconcile() {
        if (known.isOwn()) {
            hold();
        } else if (known.isFresh() && isHolderAlive()) {
            takeoverDelay.cancel();
        } else {
            takeOver();
        }
    }

    /** Renews the lease and orders engines, unless others should do so for a while. */
    private void hold() {
        leftToOthers = leftToOthers && clock.nanos() - releasedNanos < releaseTime.toNanos();
        if (writes.comeToNothing() || pendingOrders.reachesNoServer()) {
            release();
        } else if (!leftToOthers) {
            writeIntents();
        }
    }

    private void takeOver() {
        if (!takeoverDelay.isPending()) {
            takeoverDelay.begin(clock.nanos());
            rowRead = false;
        }
        if (!takeoverDelay.isOver(clock.nanos())) {
            return;
        }
        if (rowRead) {
            heldBackServers.ask(planner.outdatedServers());
            writeIntents();
        } else {
            readRow();
        }
    }

    /** As the holder, asks also servers that have the newest weights, so that a later version finds none held back. */
    private void askAsHolder() {
        if (known.isOwn() && !leftToOthers) {
            heldBackServers.ask(state.directory().all());
        }
    }

    private void markStoreCall() {
        storeCallPending = true;
        storeCallNanos = clock.nanos();
    }

    /** Gives up a call of the store whose result was never handled, so that this controller goes on. */
    private void dropLostStoreCall(long nowNanos) {
        if (storeCallPending && nowNanos - storeCallNanos > STORE_CALL_LIFETIME.toNanos()) {
            storeCallPending = false;
            rowRead = false;
            LogEvent.of("lease_call_lost").with("row", known.rowVersion()).warn();
        }
    }

    private void readRow() {
        markStoreCall();
        long readNanos = storeCallNanos;
        leaseStore.read().whenComplete((row, failure) -> {
            storeCallPending = false;
            rowRead = failure == null;
            if (failure != null) {
                backOff(failure, "lease_unread");
            } else if (known.applyRead(row, readNanos)) {
                leaseChanged();
            }
        });
    }

    private void backOff(Throwable cause, String event) {
        lastWriteNanos = storeCallNanos + WRITE_BACKOFF.toNanos();
        LogEvent.of(event).with("cause", cause).info();
    }

    private void writeIntents() {
        LeaseTerm term = known.nextTerm();
        long nowMillis = leaseStore.nowMillis();
        boolean lastWriteLate = known.isOwn() && writes.isLastLate();
        List<OrderIntent> orders = lastWriteLate
                ? List.of()
                : planner.planOrders(term, pendingOrders.servers(), pendingOrders.loadTime(), nowMillis);
        List<OrderIntent> completedIntents = pendingOrders.completedIntents();
        boolean renewalDue = lastWriteLate || (known.isOwn() && known.age().compareTo(RENEWAL_INTERVAL) > 0);
        if (completedIntents.isEmpty() && orders.isEmpty() && !renewalDue && !known.isRowToWrite()) {
            return;
        }
        List<OrderIntent> intents = new ArrayList<>(completedIntents);
        intents.addAll(pendingOrders.renewedIntents(nowMillis));
        intents.addAll(orders);
        write(known.renewedWith(term, intents), orders, completedIntents.size());
    }

    /** Writes the row and then issues the orders, whose window counts from the beginning of the write. */
    private void write(WeightsLease newLease, List<OrderIntent> orders, int completedIntents) {
        if (!known.isOwn()) {
            known.logTakeover(newLease.term());
        }
        IssueWindow issueWindow = IssueWindow.starting(clock, PendingOrder.ISSUE_WINDOW);
        markStoreCall();
        lastWriteNanos = storeCallNanos;
        leaseStore.write(known.versions(), newLease).whenComplete((newRowVersion, failure) -> {
            storeCallPending = false;
            if (failure != null) {
                writes.recordFailure();
                backOff(failure, "lease_unknown");
            } else if (newRowVersion.isEmpty()) {
                LogEvent.of("lease_lost")
                        .with("fence", newLease.term().fencingToken())
                        .info();
                takeoverDelay.cancel();
                readRow();
            } else if (known.applyWritten(newLease, newRowVersion.getAsLong())) {
                pendingOrders.dropCompleted(completedIntents);
                issueOrders(orders, issueWindow);
                leaseChanged();
            }
        });
    }

    private void issueOrders(List<OrderIntent> orders, IssueWindow issueWindow) {
        LogEvent.of("lease_written")
                .with("fence", known.lease().term().fencingToken())
                .with("orders", orders.size())
                .info();
        writes.recordResponse(issueWindow.isOpen(clock));
        orders.forEach(order -> pendingOrders.issue(order, issueWindow));
    }
}
