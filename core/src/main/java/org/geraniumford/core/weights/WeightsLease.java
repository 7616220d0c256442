package org.geraniumford.core.weights;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.geraniumford.core.text.LineField;

/**
 * The weights lease, one row of the store. It determines which host orders engines to load weights, and contains the
 * intents of recent orders. An order is issued only after its intent was written on the condition that the row still
 * had the last known version, so that a holder that lost the lease cannot issue orders whose intents its successor has
 * not read.
 *
 * @param fencingToken the fencing token, which increases with each change of the holder; 0 before the first holder
 * @param holder the host that holds the lease; an empty string before the first holder
 * @param renewedMillis when the row was last written, in milliseconds on the store's clock; 0 after a release
 * @param intents the intents of recent orders
 * @param intentsLostMillis when a row was found whose intents could not be read, in milliseconds on the store's clock;
 *     0 if that is long ago or never was
 */
public record WeightsLease(
        long fencingToken, String holder, long renewedMillis, List<OrderIntent> intents, long intentsLostMillis) {
    private static final String SEPARATOR = " ";
    private static final int HEAD_FIELDS = 3;
    private static final int HEAD_FIELDS_WITH_LOSS = 4;
    private static final int INTENT_FIELDS = 6;

    /** Checks and copies the components. */
    public WeightsLease {
        requireNonNull(holder, "holder is null");
        intents = List.copyOf(intents);
    }

    // -- construction

    /**
     * Returns the lease as it is before any host held it.
     *
     * @return a lease without a holder
     */
    public static WeightsLease empty() {
        return new WeightsLease(0, "", 0, List.of(), 0);
    }

    /**
     * Returns the lease of a row whose value cannot be read. Its holder is unknown and counts as alive, and orders that
     * it has issued may be on their way to any server.
     *
     * @param rowVersion the version of the row, which is at least as high as each fencing token that was written to it:
     *     a write raises the token by one at most and the version by one at least
     * @param nowMillis the time on the store's clock in milliseconds
     * @return a fresh lease, with the version as its fencing token
     */
    public static WeightsLease ofUnreadableRow(long rowVersion, long nowMillis) {
        return new WeightsLease(rowVersion, "", nowMillis, List.of(), nowMillis);
    }

    /**
     * Decodes the value of the row.
     *
     * @param text the value
     * @return the lease, or empty if the value is not a valid lease
     */
    public static Optional<WeightsLease> decode(String text) {
        String[] lines = text.split("\n", -1);
        String[] head = lines[0].split(SEPARATOR, -1);
        try {
            if (head.length != HEAD_FIELDS && head.length != HEAD_FIELDS_WITH_LOSS) {
                return Optional.empty();
            }
            List<OrderIntent> intents = Arrays.stream(lines)
                    .skip(1)
                    .map(line -> decodeIntent(line.split(SEPARATOR, -1)))
                    .toList();
            long intentsLostMillis = head.length == HEAD_FIELDS ? 0 : Long.parseLong(head[3]);
            return Optional.of(new WeightsLease(
                    Long.parseLong(head[0]),
                    LineField.decode(head[1]),
                    Long.parseLong(head[2]),
                    intents,
                    intentsLostMillis));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static OrderIntent decodeIntent(String[] fields) {
        if (fields.length != INTENT_FIELDS) {
            throw new IllegalArgumentException("intent does not have " + INTENT_FIELDS + " fields");
        }
        return new OrderIntent(
                LineField.decode(fields[0]),
                LineField.decode(fields[1]),
                Integer.parseInt(fields[2]),
                LineField.decode(fields[3]),
                Long.parseLong(fields[4]),
                Boolean.parseBoolean(fields[5]));
    }

    // -- queries

    /**
     * Encodes the lease as the value of the row.
     *
     * @return one line for the lease and one line for each intent, with fields separated by spaces; names are encoded
     *     by {@link LineField}
     */
    public String encode() {
        String head = String.join(
                SEPARATOR, String.valueOf(fencingToken), LineField.encode(holder), String.valueOf(renewedMillis));
        String loss = intentsLostMillis == 0 ? "" : SEPARATOR + intentsLostMillis;
        return intents.stream().map(WeightsLease::encodeIntent).collect(Collectors.joining("", head + loss, ""));
    }

    private static String encodeIntent(OrderIntent intent) {
        return '\n'
                + String.join(
                        SEPARATOR,
                        LineField.encode(intent.server()),
                        LineField.encode(intent.model()),
                        String.valueOf(intent.version()),
                        LineField.encode(intent.holder()),
                        String.valueOf(intent.recordedMillis()),
                        String.valueOf(intent.done()));
    }

    /**
     * Returns whether enough time has passed since the intents of other holders for a host to order a server.
     *
     * @param server the id of the server
     * @param host the host that would issue the order
     * @param nowMillis the time on the store's clock in milliseconds
     * @param spacing the time that must pass between the intents of two holders for one server
     * @return true if no other holder recorded an order to the server within the spacing, and none can have done so
     *     with an intent that could not be read
     */
    public boolean canOrder(String server, String host, long nowMillis, Duration spacing) {
        if (intentsLostMillis > 0 && nowMillis - intentsLostMillis <= spacing.toMillis()) {
            return false;
        }
        return intents.stream()
                .filter(intent ->
                        intent.server().equals(server) && !intent.holder().equals(host))
                .allMatch(intent -> nowMillis - intent.recordedMillis() > spacing.toMillis());
    }

    /**
     * Returns whether the holder renewed the lease recently.
     *
     * @param nowMillis the time on the store's clock in milliseconds
     * @param timeout how long a holder may leave the row unwritten
     * @return true if there is a holder that wrote the row within that time
     */
    public boolean isFresh(long nowMillis, Duration timeout) {
        return fencingToken > 0 && nowMillis - renewedMillis < timeout.toMillis();
    }

    /**
     * Returns whether it is not known which host holds the lease, because the row could not be read.
     *
     * @return false before the first holder
     */
    public boolean isOfUnknownHolder() {
        return fencingToken > 0 && holder.isEmpty();
    }

    // -- transitions

    /**
     * Returns the lease as a host writes it to renew or take it over and to record intents. A recorded intent replaces
     * the earlier one of the same holder for the same server and model.
     *
     * @param host the host
     * @param nowMillis the time on the store's clock in milliseconds
     * @param newIntents the intents to record, those of new orders and completed ones; may be empty
     * @param retention how long after its recording an earlier intent is kept for successors
     * @return the next value of the row, with a higher fencing token if the holder changes
     */
    public WeightsLease renewedBy(String host, long nowMillis, List<OrderIntent> newIntents, Duration retention) {
        List<OrderIntent> recent = new ArrayList<>(intents.stream()
                .filter(intent -> nowMillis - intent.recordedMillis() < retention.toMillis())
                .filter(intent -> newIntents.stream().noneMatch(newIntent -> sameOrder(newIntent, intent)))
                .toList());
        recent.addAll(newIntents);
        boolean lossRetained = nowMillis - intentsLostMillis < retention.toMillis();
        return new WeightsLease(
                holder.equals(host) ? fencingToken : fencingToken + 1,
                host,
                nowMillis,
                recent,
                lossRetained ? intentsLostMillis : 0);
    }

    /**
     * Returns the lease as its holder releases it, so that any other host can take it.
     *
     * @return a lease that is no longer fresh
     */
    public WeightsLease released() {
        return new WeightsLease(fencingToken, holder, 0, intents, intentsLostMillis);
    }

    private static boolean sameOrder(OrderIntent order, OrderIntent intent) {
        return order.server().equals(intent.server())
                && order.model().equals(intent.model())
                && order.holder().equals(intent.holder());
    }
}
