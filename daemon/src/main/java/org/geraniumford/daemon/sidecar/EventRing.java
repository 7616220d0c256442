package org.geraniumford.daemon.sidecar;

/** The bounded ring in front of the sidecar's duty. */
@FunctionalInterface
interface EventRing {
    /** Hands an event to the duty; returns false if the ring is full, and the event is then not handled. */
    boolean offer(SidecarEvent event);
}
