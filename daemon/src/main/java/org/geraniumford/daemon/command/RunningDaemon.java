package org.geraniumford.daemon.command;

import java.util.concurrent.CompletableFuture;

/** A started daemon, as the command line uses it. */
interface RunningDaemon {
    /** Returns the bound addresses for the ready line, as {@code NAME=IP:PORT} pairs separated by spaces. */
    String formatAddresses();

    /** Refuses new work from now on. The future completes once the running work has ended and the daemon has closed. */
    CompletableFuture<Void> drain();

    /** Returns a future that completes once the daemon has closed, after a drain or {@link #close}. */
    CompletableFuture<Void> closed();

    /** Closes the daemon at once and aborts the work that still runs. */
    void close();
}
