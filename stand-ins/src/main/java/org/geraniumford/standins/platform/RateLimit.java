package org.geraniumford.standins.platform;

import java.util.concurrent.TimeUnit;

/**
 * A token bucket that limits the requests per second. A burst is at most the requests of a tenth of a second, but at
 * least one request. Reads no clock; callers pass the time in microseconds.
 */
final class RateLimit {
    private static final double BURST_SECONDS = 0.1;

    private final double permitsPerMicro;
    private final double burstPermits;
    private double availablePermits;
    private long lastRefillMicros;

    RateLimit(int permitsPerSecond, long now) {
        this.permitsPerMicro = (double) permitsPerSecond / TimeUnit.SECONDS.toMicros(1);
        this.burstPermits = Math.max(1, permitsPerSecond * BURST_SECONDS);
        this.availablePermits = burstPermits;
        this.lastRefillMicros = now;
    }

    /** Consumes a permit if one is available, and returns whether it did. */
    boolean tryAcquire(long now) {
        availablePermits = Math.min(burstPermits, availablePermits + (now - lastRefillMicros) * permitsPerMicro);
        lastRefillMicros = now;
        if (availablePermits < 1) {
            return false;
        }
        availablePermits--;
        return true;
    }
}
