package org.geraniumford.core.orders;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The row of the table service that says who may order one engine. Each holder raises the term, which is the first part
 * of the fencing number of its orders.
 *
 * @param term the fencing term, from 1
 * @param holder the process's name
 * @param incarnation the process's start, in microseconds since the epoch
 */
public record OrderLease(long term, String holder, long incarnation) {
    /** The table that holds the leases, one row for each engine. */
    public static final String TABLE = "order-leases";

    private static final Pattern FORMAT = Pattern.compile("term=(\\d{1,18}) incarnation=(\\d{1,18}) holder=(.*)");

    // -- construction

    /**
     * Reads a row.
     *
     * @param text the row's value
     * @return the lease, or empty if the value is not one
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
     * Returns the row's value.
     *
     * @return one line of text
     */
    public String encode() {
        return "term=" + term + " incarnation=" + incarnation + " holder=" + holder;
    }

    /**
     * Says whether another lease was taken by the same start of the same process.
     *
     * @param other the other lease
     * @return true if the holder and its incarnation are equal
     */
    public boolean hasSameHolder(OrderLease other) {
        return holder.equals(other.holder) && incarnation == other.incarnation;
    }
}
