package org.geraniumford.core.membership;

/**
 * Determines how often a process reads the platform's host list. The interval grows with the length of the list, so
 * that reads stay within a fixed byte rate.
 */
public final class HostListPolling {
    /** The maximum average byte rate of reads of the list, in bytes per second. */
    public static final long BYTES_PER_SECOND = 4_000;

    /** The minimum of the mean interval, in microseconds; with jitter, single intervals may be shorter. */
    public static final long MIN_INTERVAL_MICROS = 1_000_000;

    /** The assumed length of one host's data in the list. */
    private static final long BYTES_PER_HOST = 150;

    private static final long MICROS_PER_SECOND = 1_000_000;

    private HostListPolling() {}

    // -- queries

    /**
     * Returns the mean time between two reads of the list.
     *
     * @param hosts the number of hosts in the list
     * @return the mean interval in microseconds, at least {@link #MIN_INTERVAL_MICROS}
     */
    public static long intervalMicros(int hosts) {
        return Math.max(MIN_INTERVAL_MICROS, hosts * BYTES_PER_HOST * MICROS_PER_SECOND / BYTES_PER_SECOND);
    }
}
