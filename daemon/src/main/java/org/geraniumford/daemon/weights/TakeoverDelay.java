package org.geraniumford.daemon.weights;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** The random delay before an entry takes over the lease, so that one of them writes first. */
final class TakeoverDelay {
    private static final Duration MAX_DELAY = Duration.ofMillis(600);

    private final RandomGenerator random;
    private boolean pending;
    private long endNanos;

    private TakeoverDelay(RandomGenerator random) {
        this.random = random;
    }

    // -- construction

    static TakeoverDelay of(RandomGenerator random) {
        return new TakeoverDelay(random);
    }

    // -- queries

    boolean isPending() {
        return pending;
    }

    /** Returns whether a pending delay has passed. */
    boolean isOver(long nowNanos) {
        return pending && nowNanos - endNanos >= 0;
    }

    // -- commands

    void begin(long nowNanos) {
        pending = true;
        endNanos = nowNanos + (long) (MAX_DELAY.toNanos() * random.nextDouble());
    }

    void cancel() {
        pending = false;
    }
}
