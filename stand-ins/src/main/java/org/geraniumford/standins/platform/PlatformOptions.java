package org.geraniumford.standins.platform;

/**
 * How a platform is started.
 *
 * @param port the port on loopback; 0 takes a free one
 * @param writesPerSecond the limit of table and object writes, at least 1
 * @param readsPerSecond the limit of table, object and host list reads, at least 1
 * @param hostListLagMillis how late the host list is, in milliseconds
 * @param weightLoadMillis how long weights take while up to three load, in milliseconds
 * @param seed the seed of which replies are lost
 */
public record PlatformOptions(
        int port, int writesPerSecond, int readsPerSecond, long hostListLagMillis, long weightLoadMillis, long seed) {
    private static final PlatformOptions STANDARD = new PlatformOptions(0, 500, 2000, 0, 1000, 1);

    // -- construction

    /**
     * Returns the options of a platform on a free port.
     *
     * @return 500 writes and 2,000 reads a second, no lag of the host list, 1 s to load weights
     */
    public static PlatformOptions ofDefaults() {
        return STANDARD;
    }

    /**
     * Changes the lag of the host list.
     *
     * @param millis how late the list is, in milliseconds
     * @return new options
     */
    public PlatformOptions withHostListLagMillis(long millis) {
        return new PlatformOptions(port, writesPerSecond, readsPerSecond, millis, weightLoadMillis, seed);
    }

    /**
     * Changes the limits.
     *
     * @param writes writes a second
     * @param reads reads a second
     * @return new options
     */
    public PlatformOptions withRates(int writes, int reads) {
        return new PlatformOptions(port, writes, reads, hostListLagMillis, weightLoadMillis, seed);
    }
}
