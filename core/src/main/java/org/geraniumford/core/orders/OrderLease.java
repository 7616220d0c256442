package org.geraniumford.core.orders;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The row of the table service that determines the process that may send orders to one engine. Each holder increases
 * the term, which is the first part of the fencing token of its orders.
 *
 * @param term the fencing term, at least 1
 * @param holder the name of the process that holds the lease
 * @param incarnation the incarnation of that process: its start time in microseconds since the epoch
 */
public record OrderLease(long term, String holder, long incarnation) {
    /** The name of the table that holds the leases, one row per engine. */
    public static final String TABLE = "order-leases";

    private static final Pattern FORMAT = Pattern.compile("term=(\\d{1,18}) incarnation=(\\d{1,18}) holder=(.*)");

    // -- construction

    /**
     * Decodes the value of a row.
     *
     * @param text the value
     * @return the lease, or empty if the value is not a valid lease
     */
    public static Optional<OrderLease> decode(String text) {
        Matcher matcher = FORMAT.matcher(text);
        return matcher.matches()
                ? Optional.of(new OrderLease(
                        Long.parseLong(matcher.group(1)), matcher.group(3), Long.parseLong(matcher.group(2))))
                : Optional.empty();
    }

    // -- queries

    /**
     * Encodes the lease as the value of a row.
     *
     * @return one line of text
     */
    public String encode() {
        return "term=" + term + " incarnation=" + incarnation + " holder=" + holder;
    }

    /**
     * Returns whether another lease was acquired by the same incarnation of the same process.
     *
     * @param other the other lease
     * @return true if the holder and the incarnation are equal
     */
    public boolean hasSameHolder(OrderLease other) {
        return holder.equals(other.holder) && incarnation == other.incarnation;
    }
}
