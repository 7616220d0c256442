package org.geraniumford.daemon.sidecar;

/** Asks for the backend server's state and hands what it learns to the sidecar's duty, on which it runs. */
interface BackendMonitor {
    /** Does what is due; never blocks. */
    void tick(long nowNanos);

    /** Learns that the stream of cache events has ended. */
    default void cacheStreamEnded() {}

    /** Learns that a read of the whole cache is over, whether it succeeded or not. */
    default void cacheReadFinished() {}
}
