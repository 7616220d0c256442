package org.geraniumford.daemon.sidecar;

/** The bounded ring in front of the sidecar's worker thread. */
@FunctionalInterface
interface EventRing {
    /** Offers an event to the worker; returns false if the ring is full, and the event is then not handled. */
    boolean offer(SidecarEvent event);
}
