package org.geraniumford.standins.platform;

/**
 * The options of a platform stand-in.
 *
 * @param port the port on loopback; 0 selects a free port
 * @param writesPerSecond the limit of table and object writes a second, at least 1
 * @param readsPerSecond the limit of table, object and host list reads and of weight fetches a second, at least 1
 * @param hostListLagMillis the delay of changes in the host list, in milliseconds
 * @param weightLoadMillis the time to load weights while at most three loads run, in milliseconds; it grows in
 *     proportion with more loads
 * @param seed the seed of the random choice of lost responses
 */
public record PlatformOptions(
        int port, int writesPerSecond, int readsPerSecond, long hostListLagMillis, long weightLoadMillis, long seed) {
    private static final PlatformOptions DEFAULTS = new PlatformOptions(0, 500, 2000, 0, 1000, 1);

    // -- construction

    /**
     * Returns the default options of a platform on a free port.
     *
     * @return 500 writes and 2,000 reads a second, no lag of the host list, 1 s to load weights
     */
    public static PlatformOptions ofDefaults() {
        return DEFAULTS;
    }

    /**
     * Returns a copy with another lag of the host list.
     *
     * @param millis the delay of changes in the host list, in milliseconds
     * @return new options
     */
    public PlatformOptions withHostListLagMillis(long millis) {
        return new PlatformOptions(port, writesPerSecond, readsPerSecond, millis, weightLoadMillis, seed);
    }

    /**
     * Returns a copy with other rate limits.
     *
     * @param writes the limit of writes a second, at least 1
     * @param reads the limit of reads a second, at least 1
     * @return new options
     */
    public PlatformOptions withRates(int writes, int reads) {
        return new PlatformOptions(port, writes, reads, hostListLagMillis, weightLoadMillis, seed);
    }
}
