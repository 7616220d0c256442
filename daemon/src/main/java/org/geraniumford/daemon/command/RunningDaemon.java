package org.geraniumford.daemon.command;

import java.util.concurrent.CompletableFuture;

/** A daemon that serves, as far as the command line needs to know it. */
interface RunningDaemon {
    /** Returns the pairs of the ready line: what listens where. */
    String formatAddresses();

    /** Refuses new work; done once the running work has ended. */
    CompletableFuture<Void> drain();

    /** Returns a future that is done once the daemon has ended by itself. */
    CompletableFuture<Void> closed();

    /** Ends the daemon and what still runs. */
    void close();
}
