package org.geraniumford.core.time;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * An estimate of a monotonic clock that all processes can read, advanced by the local monotonic clock between readings.
 * The local clock stands still while its host is suspended, and the next reading corrects that. A reading may have been
 * on its way for any time, so it is a lower limit, and the largest estimate of the last readings counts. The estimate
 * is never ahead of the shared clock by more than the drift between the two clocks in twice {@link #WINDOW}. Not
 * thread-safe.
 */
public final class SharedClock {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Readings count for at least this time, and are forgotten after twice this time once there are newer ones. */
    private static final Duration WINDOW = Duration.ofSeconds(30);

    private final LongSupplier localNanos;

    /** The largest offsets from the local to the shared clock in this window and in the one before. */
    private long offsetNanos;

    private long previousOffsetNanos;
    private long windowStartNanos;
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
        return localNanos.getAsLong() + Math.max(offsetNanos, previousOffsetNanos);
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
        long nowNanos = localNanos.getAsLong();
        long observedOffsetNanos = sharedMillis * NANOS_PER_MILLI - nowNanos;
        long behindNanos = known ? Math.max(0, observedOffsetNanos + nowNanos - nanos()) : 0;
        if (!known) {
            previousOffsetNanos = observedOffsetNanos;
            startWindow(observedOffsetNanos, nowNanos);
        } else if (nowNanos - windowStartNanos > WINDOW.toNanos()) {
            previousOffsetNanos = offsetNanos;
            startWindow(observedOffsetNanos, nowNanos);
        }
        offsetNanos = Math.max(offsetNanos, observedOffsetNanos);
        known = true;
        return behindNanos / NANOS_PER_MILLI;
    }

    private void startWindow(long observedOffsetNanos, long nowNanos) {
        offsetNanos = observedOffsetNanos;
        windowStartNanos = nowNanos;
    }
}
