package org.geraniumford.daemon.sidecar;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Hands over the few events that must not be lost. Their number is bounded by what runs. */
final class EventRings {
    private static final long RETRY_MILLIS = 1;

    private EventRings() {}

    /** Offers an event until the ring takes it, without blocking the caller. */
    static void offerUntilAccepted(EventRing ring, SidecarEvent event) {
        if (!ring.offer(event)) {
            CompletableFuture.delayedExecutor(RETRY_MILLIS, TimeUnit.MILLISECONDS)
                    .execute(() -> offerUntilAccepted(ring, event));
        }
    }
}
