package org.geraniumford.core.limits;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * By how much the entries together may exceed a customer's limit in any window, because none of them waits for another.
 *
 * @param window the length of the window, above 0
 * @param overshoot the part of the allowance by which it may be exceeded
 * @param slack the units by which it may be exceeded besides
 */
public record QuotaTolerance(Duration window, double overshoot, double slack) {
    /** The tolerance of a deployment whose settings state none. */
    public static final QuotaTolerance DEFAULT = new QuotaTolerance(Duration.ofSeconds(8), 0.1, 0);

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if the window is not above 0 or a number is negative
     */
    public QuotaTolerance {
        requireNonNull(window, "window is null");
        if (window.isZero() || window.isNegative() || !(overshoot >= 0) || !(slack >= 0)) {
            throw new IllegalArgumentException("window " + window + ", overshoot " + overshoot + ", slack " + slack);
        }
    }

    // -- queries

    /**
     * Returns what a customer may use in any window without the tolerance.
     *
     * @param quota the customer's limit
     * @return a number of units
     */
    public double allowance(CustomerQuota quota) {
        return quota.rate() * windowSeconds() + quota.burst();
    }

    /**
     * Returns by how much the entries together may exceed a limit in any window.
     *
     * @param quota the customer's limit
     * @return a number of units
     */
    public double units(CustomerQuota quota) {
        return allowance(quota) * overshoot + slack;
    }

    double windowSeconds() {
        return (double) window.toNanos() / TimeUnit.SECONDS.toNanos(1);
    }
}
