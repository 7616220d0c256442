package org.geraniumford.standins.platform;

import java.util.concurrent.TimeUnit;

/**
 * A token bucket that limits the requests per second. A burst is at most the requests of a tenth of a second, but at
 * least one request. Reads no clock; callers pass the time in microseconds.
 */
final class RateLimit {
    private static final double BURST_SECONDS = 0.1;

    private final double permitsPerMicro;
    private final double burst;
    private double availablePermits;
    private long lastRefillMicros;

    RateLimit(int perSecond, long now) {
        this.permitsPerMicro = (double) perSecond / TimeUnit.SECONDS.toMicros(1);
        this.burst = Math.max(1, perSecond * BURST_SECONDS);
        this.availablePermits = burst;
        this.lastRefillMicros = now;
    }

    /** Consumes a permit if one is available, and returns whether it did. */
    boolean tryAcquire(long now) {
        availablePermits = Math.min(burst, availablePermits + (now - lastRefillMicros) * permitsPerMicro);
        lastRefillMicros = now;
        if (availablePermits < 1) {
            return false;
        }
        availablePermits--;
        return true;
    }
}
