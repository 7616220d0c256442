package org.geraniumford.daemon.entry;

import java.util.concurrent.CompletableFuture;

/** Counts the requests in flight and signals the end of the last one when the entry drains. Thread-safe. */
final class InFlightRequests {
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private int count;
    private boolean draining;

    private InFlightRequests() {}

    // -- construction

    static InFlightRequests empty() {
        return new InFlightRequests();
    }

    // -- commands

    /** Counts a new request. Returns false and counts nothing once draining has begun. */
    synchronized boolean tryAdd() {
        if (draining) {
            return false;
        }
        count++;
        return true;
    }

    /** Counts the end of a request. */
    void remove() {
        boolean last;
        synchronized (this) {
            count--;
            last = draining && count == 0;
        }
        if (last) {
            drained.complete(null);
        }
    }

    /** Stops admitting requests. The future completes when the last request in flight has ended. */
    CompletableFuture<Void> drain() {
        boolean idle;
        synchronized (this) {
            draining = true;
            idle = count == 0;
        }
        if (idle) {
            drained.complete(null);
        }
        return drained;
    }

    // -- queries

    /** Returns the number of requests in flight. */
    synchronized int count() {
        return count;
    }

    synchronized boolean isDraining() {
        return draining;
    }
}
