package org.geraniumford.daemon.sidecar;

/**
 * Polls the backend server's state and offers each observation to the sidecar's ring. Its methods run on the sidecar's
 * worker thread.
 */
interface BackendMonitor {
    /** Starts the polls and reads that are due at a time, as of {@link System#nanoTime}. Never blocks. */
    void tick(long nowNanos);

    /** Records that the stream of cache events has ended. */
    default void cacheStreamEnded() {}

    /** Records that a read of the whole cache has finished, whether it succeeded or not. */
    default void cacheReadFinished() {}
}
