package org.geraniumford.core.limits;

import static java.util.Objects.requireNonNull;

/**
 * What one entry announces about a customer with a limit.
 *
 * @param customer the customer's name
 * @param used how many units the entry has used since its start, less what was refunded
 * @param milliBalance how much more the entry holds for allowed now, in thousandths of a unit; negative after too much
 * @param settled whether the balance contains what other entries used before this one started
 * @param waitingPriority the priority of the most urgent request that the entry refused recently by this limit;
 *     {@link #NONE_WAITING} if it refused none
 */
public record CustomerUse(String customer, long used, long milliBalance, boolean settled, int waitingPriority) {
    /** A number that is greater than every priority. */
    public static final int NONE_WAITING = 10;

    /** Checks the components. */
    public CustomerUse {
        requireNonNull(customer, "customer is null");
    }
}
