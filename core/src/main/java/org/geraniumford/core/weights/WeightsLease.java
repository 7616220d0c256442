package org.geraniumford.core.weights;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * The row that says which host orders engines to load weights, and which orders it is about to give. An order is given
 * only after its intent was written under the row's last version, so that a holder that lost the lease cannot give
 * orders that its successor does not know of.
 *
 * @param fencingToken the fencing token, which grows with each change of the holder; 0 before the first one
 * @param holder the host that holds the lease
 * @param renewedMillis when the row was last written, on the store's clock
 * @param intents the recent orders
 */
public record WeightsLease(long fencingToken, String holder, long renewedMillis, List<OrderIntent> intents) {
    private static final String SEPARATOR = " ";
    private static final int HEAD_FIELDS = 3;
    private static final int INTENT_FIELDS = 6;

    /** Checks and copies the components. */
    public WeightsLease {
        requireNonNull(holder, "holder is null");
        intents = List.copyOf(intents);
    }

    // -- construction

    /**
     * Returns the lease before anyone held it.
     *
     * @return a lease without a holder
     */
    public static WeightsLease empty() {
        return new WeightsLease(0, "", 0, List.of());
    }

    /**
     * Reads a row.
     *
     * @param text the row's value
     * @return the lease, or empty if the value is not one
     */
    public static Optional<WeightsLease> decode(String text) {
        String[] lines = text.split("\n", -1);
        String[] head = lines[0].split(SEPARATOR, -1);
        try {
            if (head.length != HEAD_FIELDS) {
                return Optional.empty();
            }
            List<OrderIntent> intents = new ArrayList<>();
            for (String line : Arrays.asList(lines).subList(1, lines.length)) {
                intents.add(decodeIntent(line.split(SEPARATOR, -1)));
            }
            return Optional.of(new WeightsLease(Long.parseLong(head[0]), head[1], Long.parseLong(head[2]), intents));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static OrderIntent decodeIntent(String[] fields) {
        if (fields.length != INTENT_FIELDS) {
            throw new IllegalArgumentException("an intent has " + INTENT_FIELDS + " fields");
        }
        return new OrderIntent(
                fields[0],
                fields[1],
                Integer.parseInt(fields[2]),
                fields[3],
                Long.parseLong(fields[4]),
                Boolean.parseBoolean(fields[5]));
    }

    // -- queries

    /**
     * Returns the row's value.
     *
     * @return a line for the lease and one for each intent
     */
    public String encode() {
        StringBuilder text = new StringBuilder(
                String.join(SEPARATOR, String.valueOf(fencingToken), holder, String.valueOf(renewedMillis)));
        intents.forEach(intent -> text.append('\n')
                .append(String.join(
                        SEPARATOR,
                        intent.server(),
                        intent.model(),
                        String.valueOf(intent.version()),
                        intent.holder(),
                        String.valueOf(intent.recordedMillis()),
                        String.valueOf(intent.done()))));
        return text.toString();
    }

    /**
     * Says whether a host may order a server without following another holder too closely.
     *
     * @param server the server
     * @param host the host that would order it
     * @param nowMillis the store's clock
     * @param spacing the time that must pass between orders of two holders
     * @return true if no other holder may have ordered the server within the spacing
     */
    public boolean canOrder(String server, String host, long nowMillis, Duration spacing) {
        return intents.stream()
                .filter(intent ->
                        intent.server().equals(server) && !intent.holder().equals(host))
                .allMatch(intent -> nowMillis - intent.recordedMillis() > spacing.toMillis());
    }

    /**
     * Says whether the holder seems to be at work.
     *
     * @param nowMillis the store's clock
     * @param patience how long a holder may be silent
     * @return true if the row was written within that time
     */
    public boolean isFresh(long nowMillis, Duration patience) {
        return fencingToken > 0 && nowMillis - renewedMillis < patience.toMillis();
    }

    // -- transitions

    /**
     * Returns the lease as a host writes it to give further orders.
     *
     * @param host the host
     * @param nowMillis the store's clock
     * @param orders the further orders
     * @param keep how long intents are kept for successors
     * @return the next value of the row, with a higher fencing token if the holder changes
     */
    public WeightsLease renewedBy(String host, long nowMillis, List<OrderIntent> orders, Duration keep) {
        List<OrderIntent> recent = new ArrayList<>(intents.stream()
                .filter(intent -> nowMillis - intent.recordedMillis() < keep.toMillis())
                .filter(intent -> orders.stream().noneMatch(order -> sameOrder(order, intent)))
                .toList());
        recent.addAll(orders);
        return new WeightsLease(holder.equals(host) ? fencingToken : fencingToken + 1, host, nowMillis, recent);
    }

    /**
     * Returns the lease as its holder leaves it to whoever comes first.
     *
     * @return a lease that is not fresh any more
     */
    public WeightsLease released() {
        return new WeightsLease(fencingToken, holder, 0, intents);
    }

    private static boolean sameOrder(OrderIntent order, OrderIntent intent) {
        return order.server().equals(intent.server())
                && order.model().equals(intent.model())
                && order.holder().equals(intent.holder());
    }
}
