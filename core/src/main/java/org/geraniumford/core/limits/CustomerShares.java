package org.geraniumford.core.limits;

import java.util.Map;

/** How the work in progress is divided between customers. Stateless. */
public final class CustomerShares {
    /**
     * A customer has far more than its share above this multiple of what the others have on average. The limits of
     * large customers are about 9 times those of small ones; with 16 customers, one with half of all requests keeps
     * 4/19 of the work, and is served more than a quarter as often as all.
     */
    private static final double MAX_MULTIPLE = 4;

    private CustomerShares() {}

    // -- queries

    /**
     * Returns whether a customer has far more than its share.
     *
     * @param workByCustomer the work in progress of each customer that has any, in tokens
     * @param customer the customer's name
     * @return true if it has more than 4 times the mean of the others; false if there are no others
     */
    public static boolean isFarAbove(Map<String, Long> workByCustomer, String customer) {
        double meanOfOthers = workByCustomer.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(customer))
                .mapToLong(Map.Entry::getValue)
                .average()
                .orElse(Double.POSITIVE_INFINITY);
        return workByCustomer.getOrDefault(customer, 0L) > MAX_MULTIPLE * meanOfOthers;
    }
}
