package org.geraniumford.standins.platform;

import java.util.concurrent.TimeUnit;

/** A limit of requests a second, with a burst of a tenth of a second. It reads no clock. */
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

    /** Takes a part of the allowance, if there is one. */
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
