package org.geraniumford.core.weights;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * When this process first saw each order of the weights lease, on its own monotonic clock. An order is issued within a
 * bounded time after the write of its intent began, and nobody sees an intent before its write has ended, so the order
 * has arrived or never will once that bound has passed since it was first seen. No reading of another clock is
 * involved. Not thread-safe.
 */
public final class OrderSightings {
    private final Duration spacing;
    private final Map<OrderKey, Long> seenNanos = new HashMap<>();

    /** Whether the lease was seen at all. */
    private boolean following;

    /** The newest loss of intents that the lease told of, and when; for the spacing after it, any order may arrive. */
    private long ordersLostVersion;

    private long ordersLostNanos;

    private OrderSightings(Duration spacing) {
        this.spacing = spacing;
    }

    // -- construction

    /**
     * Creates the sightings of a process that has not seen the lease.
     *
     * @param spacing the time after which an order that was seen concerns no other holder any more
     * @return no sightings
     */
    public static OrderSightings of(Duration spacing) {
        return new OrderSightings(requireNonNull(spacing, "spacing is null"));
    }

    // -- queries

    /**
     * Returns whether the orders of all other terms to a server are long enough ago for another one.
     *
     * @param server the id of the server
     * @param fencingToken the token of the term that would order it
     * @param nowNanos the time of the local monotonic clock
     * @return true if no order of another term was first seen within the spacing, and none can have been missed
     */
    public boolean allowsOrder(String server, long fencingToken, long nowNanos) {
        return following
                && !isLossRecent(nowNanos)
                && seenNanos.entrySet().stream()
                        .filter(sighting -> sighting.getKey().server().equals(server))
                        .filter(sighting -> sighting.getKey().fencingToken() != fencingToken)
                        .allMatch(sighting -> isOver(sighting.getValue(), nowNanos));
    }

    /**
     * Returns whether successors of this process need to know of an order.
     *
     * @param order the order
     * @param extra how much longer than the spacing it is kept
     * @param nowNanos the time of the local monotonic clock
     * @return true if it was first seen within the spacing and the extra time, or not at all
     */
    public boolean isNeeded(OrderKey order, Duration extra, long nowNanos) {
        Long seen = seenNanos.get(order);
        return seen == null || nowNanos - seen < spacing.plus(extra).toNanos();
    }

    /**
     * Returns whether intents were lost so recently that any order may still be on its way.
     *
     * @param nowNanos the time of the local monotonic clock
     * @return true if that was found within the spacing
     */
    public boolean isLossRecent(long nowNanos) {
        return ordersLostVersion > 0 && !isOver(ordersLostNanos, nowNanos);
    }

    private boolean isOver(long sinceNanos, long nowNanos) {
        return nowNanos - sinceNanos > spacing.toNanos();
    }

    // -- commands

    /**
     * Records the orders of a lease that were not seen before.
     *
     * @param lease the lease as it was read, announced or written
     * @param nowNanos the time of the local monotonic clock
     */
    public void observe(WeightsLease lease, long nowNanos) {
        following = true;
        if (lease.ordersLostVersion() > ordersLostVersion) {
            ordersLostVersion = lease.ordersLostVersion();
            ordersLostNanos = nowNanos;
        }
        Set<OrderKey> listed = lease.intents().stream().map(OrderIntent::key).collect(Collectors.toSet());
        listed.forEach(order -> seenNanos.putIfAbsent(order, nowNanos));
        seenNanos
                .entrySet()
                .removeIf(sighting -> isOver(sighting.getValue(), nowNanos) && !listed.contains(sighting.getKey()));
    }
}
