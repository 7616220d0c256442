package org.geraniumford.daemon.weights;

import java.time.Duration;
import org.geraniumford.core.time.LocalClock;

/** Clocks that a test advances, starting at the time of the system. */
final class VirtualClock implements LocalClock {
    private long nanos = System.nanoTime();
    private long millis = System.currentTimeMillis();

    @Override
    public long nanos() {
        return nanos;
    }

    @Override
    public long timeOfDayMillis() {
        return millis;
    }

    void advance(long advancedMillis) {
        nanos += Duration.ofMillis(advancedMillis).toNanos();
        millis += advancedMillis;
    }

    /** Advances the time of day alone, as a suspension of the host does. */
    void suspend(long suspendedMillis) {
        millis += suspendedMillis;
    }
}
