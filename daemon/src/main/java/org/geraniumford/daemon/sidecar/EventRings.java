package org.geraniumford.daemon.sidecar;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Delivers the few events that must not be lost. The work in progress bounds their number. */
final class EventRings {
    private static final long RETRY_MILLIS = 1;

    private EventRings() {}

    /** Offers an event until the ring accepts it, without blocking the caller. */
    static void offerUntilAccepted(EventRing ring, SidecarEvent event) {
        if (!ring.offer(event)) {
            CompletableFuture.delayedExecutor(RETRY_MILLIS, TimeUnit.MILLISECONDS)
                    .execute(() -> offerUntilAccepted(ring, event));
        }
    }
}
