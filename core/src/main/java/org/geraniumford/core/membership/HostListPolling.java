package org.geraniumford.core.membership;

/**
 * How often a process reads the platform's host list. The interval grows with the list, so that reading it stays within
 * a fixed rate of bytes.
 */
public final class HostListPolling {
    /** The bytes a second that reading the list may take on average. */
    public static final long BYTES_PER_SECOND = 4_000;

    /** The shortest interval, in microseconds. */
    public static final long MIN_INTERVAL_MICROS = 1_000_000;

    private static final long BYTES_PER_HOST = 150;
    private static final long MICROS_PER_SECOND = 1_000_000;

    private HostListPolling() {}

    // -- queries

    /**
     * Returns the mean time between two readings.
     *
     * @param hosts the length of the list
     * @return microseconds
     */
    public static long intervalMicros(int hosts) {
        return Math.max(MIN_INTERVAL_MICROS, hosts * BYTES_PER_HOST * MICROS_PER_SECOND / BYTES_PER_SECOND);
    }
}
