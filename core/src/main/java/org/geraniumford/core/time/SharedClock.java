package org.geraniumford.core.time;

import static java.util.Objects.requireNonNull;

import java.util.function.LongSupplier;

/**
 * An estimate of a monotonic clock that all processes can read, advanced by the local monotonic clock between readings.
 * The local clock stands still while its host is suspended, and the next reading corrects that. A reading may have been
 * on its way for any time, so it is a lower limit, and the largest estimate counts. The estimate is never ahead of the
 * shared clock by more than the drift between the two clocks. Not thread-safe.
 */
public final class SharedClock {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final LongSupplier localNanos;
    private long offsetNanos;
    private boolean known;

    private SharedClock(LongSupplier localNanos) {
        this.localNanos = localNanos;
    }

    // -- construction

    /**
     * Creates a clock without readings.
     *
     * @param localNanos the local monotonic clock, in nanoseconds
     * @return a clock that shows the local time until the first reading
     */
    public static SharedClock of(LongSupplier localNanos) {
        return new SharedClock(requireNonNull(localNanos, "localNanos is null"));
    }

    // -- queries

    /**
     * Returns whether the shared clock has been read.
     *
     * @return true after the first call of {@link #observe}
     */
    public boolean isKnown() {
        return known;
    }

    /**
     * Returns the estimated time.
     *
     * @return the time in nanoseconds
     */
    public long nanos() {
        return localNanos.getAsLong() + offsetNanos;
    }

    /**
     * Returns the estimated time.
     *
     * @return the time in milliseconds
     */
    public long millis() {
        return nanos() / NANOS_PER_MILLI;
    }

    // -- commands

    /**
     * Applies a reading of the shared clock.
     *
     * @param sharedMillis what the shared clock showed at some time before now, in milliseconds
     * @return by how many milliseconds the estimate was behind; 0 if it was not, or for the first reading
     */
    public long observe(long sharedMillis) {
        long observedOffsetNanos = sharedMillis * NANOS_PER_MILLI - localNanos.getAsLong();
        long behindNanos = known ? Math.max(0, observedOffsetNanos - offsetNanos) : 0;
        if (!known || behindNanos > 0) {
            offsetNanos = observedOffsetNanos;
            known = true;
        }
        return behindNanos / NANOS_PER_MILLI;
    }
}
