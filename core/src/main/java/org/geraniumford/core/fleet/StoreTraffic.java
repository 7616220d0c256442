package org.geraniumford.core.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * How busy the links of the cache stores are with transfers that this entry has ordered. A store sends one prefix after
 * another, so above the bandwidth of its link engines wait for seconds before they can prefill. Not thread-safe.
 */
public final class StoreTraffic {
    /** The time in which a transfer's weight falls to 1/e; long enough to average over a few prompts. */
    private static final double TIME_CONSTANT_SECONDS = 3;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double BYTES_PER_MEGABIT = 125_000;

    private final Map<String, Average> byAddress = new HashMap<>();

    private StoreTraffic() {}

    private record Average(double bytes, long atNanos) {
        double bytes(long nowNanos) {
            return bytes * Math.exp(-Math.max(0, nowNanos - atNanos) / NANOS_PER_SECOND / TIME_CONSTANT_SECONDS);
        }
    }

    // -- construction

    /**
     * Creates an object without transfers.
     *
     * @return idle links
     */
    public static StoreTraffic idle() {
        return new StoreTraffic();
    }

    // -- queries

    /**
     * Estimates how much of a store's link is in use, if all entries use it like this one.
     *
     * @param address the store's address
     * @param linkMegabits the bandwidth of the link in megabits per second
     * @param entries the number of entries
     * @param nowNanos the current time, from {@link System#nanoTime}
     * @return the fraction of the bandwidth, above 1 if more is ordered than it carries; 0 if the bandwidth is unknown
     */
    public double utilization(String address, double linkMegabits, int entries, long nowNanos) {
        Average average = byAddress.get(address);
        if (average == null || linkMegabits <= 0) {
            return 0;
        }
        double bytesPerSecond = average.bytes(nowNanos) / TIME_CONSTANT_SECONDS * entries;
        return bytesPerSecond / (linkMegabits * BYTES_PER_MEGABIT);
    }

    // -- commands

    /**
     * Records that an engine is told to fetch from a store or to save to it.
     *
     * @param address the store's address
     * @param bytes the size of the transfer; twice that between failure domains, where transfers take twice as long
     * @param nowNanos the current time, from {@link System#nanoTime}
     */
    public void record(String address, double bytes, long nowNanos) {
        byAddress.merge(
                address,
                new Average(bytes, nowNanos),
                (earlier, added) -> new Average(earlier.bytes(nowNanos) + added.bytes(), nowNanos));
    }
}
