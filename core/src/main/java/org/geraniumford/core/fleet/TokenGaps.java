package org.geraniumford.core.fleet;

import java.util.Arrays;
import java.util.OptionalDouble;

/**
 * The times between the first events of a stream. Their median is the time of one step of the engine: most steps
 * contain no prefill of another request, and delays on the way change single gaps only. Not thread-safe.
 */
public final class TokenGaps {
    private static final int MAX_GAPS = 16;

    /** Fewer gaps may be the fragments of one event. */
    private static final int MIN_GAPS = 6;

    private static final double NANOS_PER_MILLI = 1e6;

    private final double[] gapMillis = new double[MAX_GAPS];
    private int count;
    private long lastNanos;
    private boolean begun;

    private TokenGaps() {}

    // -- construction

    /**
     * Creates the gaps of a stream of which nothing has arrived.
     *
     * @return a new object
     */
    public static TokenGaps empty() {
        return new TokenGaps();
    }

    // -- queries

    /**
     * Returns the time of a step.
     *
     * @return the median gap in milliseconds; empty if there were fewer than 6
     */
    public OptionalDouble median() {
        if (count < MIN_GAPS) {
            return OptionalDouble.empty();
        }
        double[] sorted = Arrays.copyOf(gapMillis, count);
        Arrays.sort(sorted);
        return OptionalDouble.of(sorted[count / 2]);
    }

    /**
     * Returns whether further events change nothing.
     *
     * @return true once 16 gaps are recorded
     */
    public boolean isFull() {
        return count == MAX_GAPS;
    }

    // -- commands

    /**
     * Records that events arrived.
     *
     * @param nowNanos the current time, from {@link System#nanoTime}
     */
    public void record(long nowNanos) {
        if (begun && count < MAX_GAPS) {
            gapMillis[count] = (nowNanos - lastNanos) / NANOS_PER_MILLI;
            count++;
        }
        begun = true;
        lastNanos = nowNanos;
    }
}
