package org.geraniumford.daemon.weights;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongPredicate;
import org.geraniumford.core.time.LocalClock;
import org.geraniumford.core.weights.IssueWindow;
import org.geraniumford.core.weights.OrderIntent;
import org.geraniumford.daemon.gateway.GatewayState;

/** The orders of this process that have not ended, and the completed intents that are not in the lease's row yet. */
final class PendingOrders implements OrderListener {
    /** The time that a server is assumed to take to drain and load until one has done so. */
    private static final Duration INITIAL_LOAD_TIME = Duration.ofSeconds(2);

    /** The weight of the newest order in the moving average of the time to drain and load, from 0 to 1. */
    private static final double LOAD_TIME_SMOOTHING = 0.2;

    private final GatewayState state;
    private final EngineAdmin engines;
    private final LocalClock clock;
    private final LongPredicate termHeld;
    private final Map<String, PendingOrder> orders = new HashMap<>();
    private final List<OrderIntent> completedIntents = new ArrayList<>();
    private final UnansweredServers unanswered = UnansweredServers.none();

    /** A moving average of the time from the intent of an order to its completion. */
    private double loadTimeMillis = INITIAL_LOAD_TIME.toMillis();

    /**
     * Creates an empty set of orders.
     *
     * @param state the servers
     * @param engines the client that sends orders to engines
     * @param clock the clocks of this process
     * @param termHeld returns whether this process may order engines in the term of a fencing token
     */
    PendingOrders(GatewayState state, EngineAdmin engines, LocalClock clock, LongPredicate termHeld) {
        this.state = state;
        this.engines = engines;
        this.clock = clock;
        this.termHeld = termHeld;
    }

    // -- queries

    /** Returns the ids of the servers with an order that has not ended; one that ended counts until the next poll. */
    Set<String> servers() {
        return Set.copyOf(orders.keySet());
    }

    /** Returns the completed intents that were not dropped yet, oldest first. */
    List<OrderIntent> completedIntents() {
        return List.copyOf(completedIntents);
    }

    /** Returns the intents of the pending orders, so that other entries go on avoiding engines that drain for long. */
    List<OrderIntent> renewedIntents(long storeNowMillis) {
        return orders.values().stream()
                .filter(order -> !order.isFinished())
                .map(order -> order.intent().renewedAt(storeNowMillis))
                .toList();
    }

    /** Returns how long one server takes to drain and load, a moving average. */
    Duration loadTime() {
        return Duration.ofMillis(Math.round(loadTimeMillis));
    }

    /** Returns whether this process reaches no engine, as far as its orders tell. */
    boolean reachesNoServer() {
        return unanswered.isFaultOfThisSide(state.directory().all().size(), clock.nanos());
    }

    // -- commands

    /**
     * Issues an order to its server if the server is known.
     *
     * @param intent the intent as it was written into the lease
     * @param issueWindow the time in which the order may be issued, opened when the write of the intent began
     */
    void issue(OrderIntent intent, IssueWindow issueWindow) {
        state.directory().find(intent.server()).ifPresent(server -> {
            PendingOrder order =
                    new PendingOrder(server, intent, issueWindow, engines, clock, state.serverLimits(), termHeld, this);
            orders.put(intent.server(), order);
            order.start();
        });
    }

    @Override
    public void answered(String server) {
        unanswered.clear();
    }

    @Override
    public void unanswered(String server) {
        unanswered.add(server, clock.nanos());
    }

    @Override
    public void loaded(OrderIntent intent, Duration elapsed) {
        completedIntents.add(intent);
        long elapsedMillis = elapsed.toMillis();
        loadTimeMillis += (elapsedMillis - loadTimeMillis) * LOAD_TIME_SMOOTHING;
    }

    /** Drops the orders that have ended and polls the others. */
    void poll() {
        orders.values().removeIf(PendingOrder::isFinished);
        orders.values().forEach(PendingOrder::poll);
    }

    /** Drops the oldest completed intents, which are in the row now; fewer if there are not as many. */
    void dropCompleted(int count) {
        completedIntents.subList(0, Math.min(count, completedIntents.size())).clear();
    }

    /** Drops all orders and completed intents, because this process no longer holds the lease. */
    void clear() {
        orders.values().forEach(PendingOrder::drop);
        orders.clear();
        completedIntents.clear();
        unanswered.clear();
    }
}
