package org.geraniumford.core.fleet;

import java.time.Duration;
import java.util.List;

/**
 * What requests of each priority recently used at the engines of one service. The use is the rate of the requests
 * multiplied by the time for which each holds its memory and slot, and it is known for all entries from their loads.
 * Not thread-safe; times are from {@link System#nanoTime}.
 */
public final class RecentUse {
    /** After this time without more urgent requests, half as much is kept for them; bursts last about 6 s. */
    private static final Duration HALF_LIFE = Duration.ofSeconds(10);

    /**
     * What is kept, as a multiple of the mean use of an engine. The short requests of the specification use 3 to 4
     * slots of each engine on average, and rarely more than 8 of one.
     */
    private static final double MARGIN = 2;

    private final double[] tokens = new double[ServerLoad.LEAST_URGENT + 1];
    private final double[] slots = new double[ServerLoad.LEAST_URGENT + 1];
    private long updatedNanos;

    private RecentUse(long nowNanos) {
        updatedNanos = nowNanos;
    }

    // -- construction

    /**
     * Creates the record of a service without requests.
     *
     * @param nowNanos the current time
     * @return a new record
     */
    public static RecentUse none(long nowNanos) {
        return new RecentUse(nowNanos);
    }

    // -- queries

    /**
     * Returns what a request leaves free.
     *
     * @param priority the priority of the request
     * @return the room for requests that are more urgent
     */
    public Headroom headroom(int priority) {
        int level = Math.min(priority, ServerLoad.LEAST_URGENT) - 1;
        return level < 0 ? Headroom.NONE : new Headroom(MARGIN * tokens[level], MARGIN * slots[level]);
    }

    // -- commands

    /**
     * Records what is in use now. The highest mean use counts, and fades while less is used.
     *
     * @param loads the loads of the engines that could take a request
     * @param nowNanos the current time
     */
    public void record(List<ServerLoad> loads, long nowNanos) {
        long elapsedNanos = nowNanos - updatedNanos;
        if (loads.isEmpty()) {
            return;
        }
        double fading = Math.pow(0.5, (double) Math.max(0, elapsedNanos) / HALF_LIFE.toNanos());
        updatedNanos = nowNanos;
        for (int level = 0; level < tokens.length; level++) {
            long sumTokens = 0;
            long sumSlots = 0;
            for (ServerLoad load : loads) {
                sumTokens += load.reservedTokens(level);
                sumSlots += load.running(level);
            }
            tokens[level] = Math.max((double) sumTokens / loads.size(), fading * tokens[level]);
            slots[level] = Math.max((double) sumSlots / loads.size(), fading * slots[level]);
        }
    }
}
