package org.geraniumford.standins.platform;

import java.util.concurrent.TimeUnit;

/** A limit of requests a second, with a burst of a tenth of a second. It reads no clock. */
final class RateLimit {
    private static final double BURST_SECONDS = 0.1;

    private final double perMicro;
    private final double burst;
    private double available;
    private long updated;

    RateLimit(int perSecond, long now) {
        this.perMicro = (double) perSecond / TimeUnit.SECONDS.toMicros(1);
        this.burst = Math.max(1, perSecond * BURST_SECONDS);
        this.available = burst;
        this.updated = now;
    }

    /** Takes a part of the allowance, if there is one. */
    boolean tryAcquire(long now) {
        available = Math.min(burst, available + (now - updated) * perMicro);
        updated = now;
        if (available < 1) {
            return false;
        }
        available--;
        return true;
    }
}
