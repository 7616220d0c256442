package org.geraniumford.core.weights;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * When this process first saw each order of the weights lease, on its own monotonic clock. An order is issued within a
 * bounded time after the write of its intent began, and nobody sees an intent before its write has ended, so the order
 * has arrived or never will once that bound has passed since it was first seen. No reading of another clock is
 * involved.
 *
 * <p>A server that stands still reads what has arrived when it goes on. It has read an order once it has answered it,
 * or a request that was sent after the order's arrival. The time until another term may order it counts from then. Not
 * thread-safe.
 */
public final class OrderSightings {
    /** How long an order that its server may not have read is remembered; a server that is still then has ended. */
    private static final Duration LONGEST_STANDSTILL = Duration.ofMinutes(1);

    private final OrderSpacing spacing;
    private final Map<OrderKey, Sighting> sightings = new HashMap<>();

    /** Whether the lease was seen at all. */
    private boolean following;

    /** The newest loss of intents that the lease told of, and when; for the spacing after it, any order may arrive. */
    private long ordersLostVersion;

    private long ordersLostNanos;

    private OrderSightings(OrderSpacing spacing) {
        this.spacing = spacing;
    }

    /**
     * An order that was seen.
     *
     * @param seenNanos when it was first seen
     * @param readNanos when it was first known that its server has read it or never will; empty if it is not known
     */
    private record Sighting(long seenNanos, OptionalLong readNanos) {
        static Sighting at(long seenNanos) {
            return new Sighting(seenNanos, OptionalLong.empty());
        }

        Sighting readBy(long nanos) {
            return readNanos.isPresent() ? this : new Sighting(seenNanos, OptionalLong.of(nanos));
        }

        boolean hasArrived(OrderSpacing spacing, long nowNanos) {
            return nowNanos - seenNanos >= spacing.arrival().toNanos();
        }

        boolean isOver(OrderSpacing spacing, long nowNanos) {
            return readNanos.isPresent()
                    && nowNanos - readNanos.getAsLong() > spacing.handover().toNanos();
        }

        boolean isNeeded(OrderSpacing spacing, Duration extra, long nowNanos) {
            Duration kept = readNanos.isPresent() ? spacing.total().plus(extra) : LONGEST_STANDSTILL;
            boolean recent = nowNanos - seenNanos < kept.toNanos();
            return recent || (readNanos.isPresent() && !isOver(spacing, nowNanos));
        }
    }

    // -- construction

    /**
     * Creates the sightings of a process that has not seen the lease.
     *
     * @param spacing what keeps the orders of two terms apart
     * @return no sightings
     */
    public static OrderSightings of(OrderSpacing spacing) {
        return new OrderSightings(requireNonNull(spacing, "spacing is null"));
    }

    // -- queries

    /**
     * Returns whether the orders of all other terms to a server are long enough ago for another one.
     *
     * @param server the id of the server
     * @param fencingToken the token of the term that would order it
     * @param nowNanos the time of the local monotonic clock
     * @return true if the server has read all orders of other terms, or never will, longer than the handover time ago,
     *     and none can have been missed
     */
    public boolean allowsOrder(String server, long fencingToken, long nowNanos) {
        return following
                && !isLossRecent(nowNanos)
                && sightingsOfOthers(server, fencingToken).allMatch(sighting -> sighting.isOver(spacing, nowNanos));
    }

    /**
     * Returns whether a server should be asked for an answer.
     *
     * @param server the id of the server
     * @param nowNanos the time of the local monotonic clock
     * @return true if it is not known to have read all orders, and each of the others has arrived by now or never will
     */
    public boolean isAnswerMissing(String server, long nowNanos) {
        List<Sighting> unread = sightings.entrySet().stream()
                .filter(sighting -> sighting.getKey().server().equals(server))
                .map(Map.Entry::getValue)
                .filter(sighting -> sighting.readNanos().isEmpty())
                .toList();
        return !unread.isEmpty() && unread.stream().allMatch(sighting -> sighting.hasArrived(spacing, nowNanos));
    }

    /**
     * Returns whether a server has read an order, or never will.
     *
     * @param order the order
     * @return false if that is not known
     */
    public boolean isRead(OrderKey order) {
        Sighting sighting = sightings.get(order);
        return sighting != null && sighting.readNanos().isPresent();
    }

    private Stream<Sighting> sightingsOfOthers(String server, long fencingToken) {
        return sightings.entrySet().stream()
                .filter(sighting -> sighting.getKey().server().equals(server))
                .filter(sighting -> sighting.getKey().fencingToken() != fencingToken)
                .map(Map.Entry::getValue);
    }

    /**
     * Returns whether successors of this process need to know of an order.
     *
     * @param order the order
     * @param extra how much longer than the spacing it is kept
     * @param nowNanos the time of the local monotonic clock
     * @return true if it was first seen within the spacing and the extra time, or not at all, or if its server may not
     *     have read it, or has read it within the handover time
     */
    public boolean isNeeded(OrderKey order, Duration extra, long nowNanos) {
        Sighting sighting = sightings.get(order);
        return sighting == null || sighting.isNeeded(spacing, extra, nowNanos);
    }

    /**
     * Returns whether intents were lost so recently that any order may still be on its way.
     *
     * @param nowNanos the time of the local monotonic clock
     * @return true if that was found within the spacing
     */
    public boolean isLossRecent(long nowNanos) {
        return ordersLostVersion > 0
                && nowNanos - ordersLostNanos <= spacing.total().toNanos();
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
        lease.intents().forEach(intent -> observe(intent, nowNanos));
        Set<OrderKey> listed = lease.intents().stream().map(OrderIntent::key).collect(Collectors.toSet());
        sightings
                .entrySet()
                .removeIf(sighting ->
                        !isNeeded(sighting.getKey(), Duration.ZERO, nowNanos) && !listed.contains(sighting.getKey()));
    }

    private void observe(OrderIntent intent, long nowNanos) {
        sightings.putIfAbsent(intent.key(), Sighting.at(nowNanos));
        if (intent.progress().isRead()) {
            sightings.replaceAll(
                    (order, sighting) -> intent.key().isSameOrLaterThan(order) ? sighting.readBy(nowNanos) : sighting);
        }
    }

    /**
     * Records that a server has answered a request.
     *
     * @param server the id of the server
     * @param sentNanos when the request was sent, of the local monotonic clock
     * @param answeredNanos when the answer arrived
     */
    public void recordAnswer(String server, long sentNanos, long answeredNanos) {
        sightings.replaceAll(
                (order, sighting) -> order.server().equals(server) && sighting.hasArrived(spacing, sentNanos)
                        ? sighting.readBy(answeredNanos)
                        : sighting);
    }
}
