package org.geraniumford.core.weights;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.geraniumford.core.store.StoreVersion;
import org.geraniumford.core.text.LineField;

/**
 * The weights lease, one row of the store. It determines which process orders engines to load weights, and contains the
 * intents of recent orders. An order is issued only after its intent was written on the condition that the row still
 * had the last known version, so that a holder that lost the lease cannot issue orders whose intents its successor has
 * not read. The lease holds no time: how long ago an order can have been issued is counted by each process from when it
 * first saw the order, see {@link OrderSightings}.
 *
 * @param term who holds the lease
 * @param released whether the holder has released it, so that any other process can take it
 * @param intents the intents of recent orders
 * @param ordersLostVersion the version of a row, or of the store if the row was missing, whose intents could not be
 *     read; 0 if that is long ago or never was
 * @param replacedVersion the version of the row that the write of this one replaced, that of the beginning of the
 *     store's era if there was none; {@link #UNKNOWN_VERSION} if the row does not tell
 */
public record WeightsLease(
        LeaseTerm term, boolean released, List<OrderIntent> intents, long ordersLostVersion, long replacedVersion) {
    /** The replaced version of a row that does not tell it. */
    public static final long UNKNOWN_VERSION = Long.MAX_VALUE;

    private static final String SEPARATOR = " ";
    private static final String RELEASED = "0";
    private static final String HELD = "1";

    /** Checks and copies the components. */
    public WeightsLease {
        requireNonNull(term, "term is null");
        intents = List.copyOf(intents);
    }

    // -- construction

    /**
     * Returns the lease as it is before any process held it.
     *
     * @return a lease without a holder
     */
    public static WeightsLease empty() {
        return new WeightsLease(LeaseTerm.none(), false, List.of(), 0, UNKNOWN_VERSION);
    }

    /**
     * Returns the lease of a row whose value cannot be read, or is an earlier one. Its holder is unknown and counts as
     * alive, and orders that it has issued may be on their way to any server.
     *
     * @param rowVersion the version of the row, which is at least as high as each fencing token that was written to it
     * @return a lease with the version as its fencing token
     */
    public static WeightsLease ofUnreadableRow(long rowVersion) {
        return new WeightsLease(LeaseTerm.ofUnknownHolder(rowVersion), false, List.of(), rowVersion, UNKNOWN_VERSION);
    }

    /**
     * Returns the lease of a row that does not exist. There may have been one that was removed, so orders may be on
     * their way to any server.
     *
     * @param storeVersion the newest version in the store, which is at least as high as each fencing token of the row
     * @return a lease that any process can take
     */
    public static WeightsLease ofMissingRow(long storeVersion) {
        return new WeightsLease(
                LeaseTerm.ofUnknownHolder(storeVersion), true, List.of(), storeVersion, UNKNOWN_VERSION);
    }

    /**
     * Decodes the value of the row.
     *
     * @param text the value
     * @return the lease, or empty if the value is not a valid lease
     */
    public static Optional<WeightsLease> decode(String text) {
        String[] lines = text.split("\n", -1);
        try {
            List<OrderIntent> intents = Arrays.stream(lines)
                    .skip(1)
                    .map(line -> decodeIntent(line.split(SEPARATOR, -1)))
                    .toList();
            return Optional.of(decodeHead(lines[0].split(SEPARATOR, -1), intents));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static WeightsLease decodeHead(String[] fields, List<OrderIntent> intents) {
        if (fields.length < 3 || fields.length > 6) {
            throw new IllegalArgumentException("lease has " + fields.length + " fields");
        }
        // Earlier versions of this program wrote neither process nor replaced version, and the last loss only if any.
        String process = fields.length < 5 ? "" : LineField.decode(fields[4]);
        long ordersLostVersion = fields.length < 4 ? 0 : Long.parseLong(fields[3]);
        return new WeightsLease(
                new LeaseTerm(Long.parseLong(fields[0]), LineField.decode(fields[1]), process),
                Long.parseLong(fields[2]) == 0,
                intents,
                ordersLostVersion,
                fields.length < 6 ? UNKNOWN_VERSION : Long.parseLong(fields[5]));
    }

    private static OrderIntent decodeIntent(String[] fields) {
        if (fields.length != 6 && fields.length != 8) {
            throw new IllegalArgumentException("intent has " + fields.length + " fields");
        }
        long recordedMillis = Long.parseLong(fields[4]);
        // Earlier versions of this program wrote no key; each renewal of their intents counts as another order.
        OrderKey key = fields.length == 6
                ? new OrderKey(LineField.decode(fields[0]), 0, recordedMillis)
                : new OrderKey(LineField.decode(fields[0]), Long.parseLong(fields[6]), Long.parseLong(fields[7]));
        return new OrderIntent(
                key,
                LineField.decode(fields[1]),
                Integer.parseInt(fields[2]),
                LineField.decode(fields[3]),
                recordedMillis,
                OrderProgress.decode(fields[5]));
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
                SEPARATOR,
                String.valueOf(term.fencingToken()),
                LineField.encode(term.holder()),
                released ? RELEASED : HELD,
                String.valueOf(ordersLostVersion),
                LineField.encode(term.process()),
                String.valueOf(replacedVersion));
        return intents.stream().map(WeightsLease::encodeIntent).collect(Collectors.joining("", head, ""));
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
                        intent.progress().encode(),
                        String.valueOf(intent.key().fencingToken()),
                        String.valueOf(intent.key().rowVersion()));
    }

    /**
     * Returns whether this value was written before a version of the row and put back after it. A write replaces the
     * newest version, so no value in the row can have replaced an older one than the last that was seen.
     *
     * @param seenRowVersion a version that the row has had; 0 if it has had none
     * @return false if that cannot be told
     */
    public boolean isOlderThan(long seenRowVersion) {
        return replacedVersion < seenRowVersion;
    }

    /**
     * Returns whether this value was written before the store came back from a copy, so that others may have been lost
     * that were written after it.
     *
     * @param readVersion a version of the era in which the value was read
     * @return false if that cannot be told
     */
    public boolean isOfEarlierEra(long readVersion) {
        return replacedVersion < StoreVersion.ofOrdinal(readVersion).eraStart().ordinal();
    }

    // -- transitions

    /**
     * Returns the lease as a process writes it to renew or take it over and to record intents.
     *
     * @param newTerm the term of the process; the same as before if it renews the lease
     * @param newIntents the intents to record, those of new orders and completed ones; each replaces an earlier one of
     *     the same order, or of the same holder for the same server and model
     * @param needed whether successors still need the intents of an order
     * @param lossNeeded whether successors still need to know that intents were lost
     * @param rowVersion the version of the row that is replaced; that of the beginning of the era if there is none
     * @return the next value of the row
     */
    public WeightsLease renewedBy(
            LeaseTerm newTerm,
            List<OrderIntent> newIntents,
            Predicate<OrderKey> needed,
            boolean lossNeeded,
            long rowVersion) {
        List<OrderIntent> recent = new ArrayList<>(intents.stream()
                .filter(intent -> needed.test(intent.key()))
                .filter(intent -> newIntents.stream().noneMatch(newIntent -> sameOrder(newIntent, intent)))
                .toList());
        recent.addAll(newIntents);
        return new WeightsLease(newTerm, false, recent, lossNeeded ? ordersLostVersion : 0, rowVersion);
    }

    /**
     * Returns the lease as its holder releases it, so that any other process can take it.
     *
     * @param rowVersion the version of the row that is replaced
     * @return a released lease
     */
    public WeightsLease asReleased(long rowVersion) {
        return new WeightsLease(term, true, intents, ordersLostVersion, rowVersion);
    }

    /**
     * Returns the lease with what its holder has learned of the orders in it.
     *
     * @param read whether the server of an order has read it, or never will
     * @return the lease, whose intents tell that
     */
    public WeightsLease withRead(Predicate<OrderKey> read) {
        List<OrderIntent> updated = intents.stream()
                .map(intent -> !intent.progress().isRead() && read.test(intent.key())
                        ? intent.with(OrderProgress.ANSWERED)
                        : intent)
                .toList();
        return new WeightsLease(term, released, updated, ordersLostVersion, replacedVersion);
    }

    private static boolean sameOrder(OrderIntent order, OrderIntent intent) {
        return order.server().equals(intent.server())
                && order.model().equals(intent.model())
                && order.holder().equals(intent.holder());
    }
}
