package org.geraniumford.daemon.entry;

import java.util.concurrent.CompletableFuture;

/** Counts the requests that have no answer yet, and says when the last one has it. Thread-safe. */
final class InFlightRequests {
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private int count;
    private boolean isDraining;

    private InFlightRequests() {}

    // -- construction

    static InFlightRequests empty() {
        return new InFlightRequests();
    }

    // -- commands

    /** Counts a new request; returns false, and counts nothing, once draining has begun. */
    synchronized boolean tryAdd() {
        if (isDraining) {
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
            last = isDraining && count == 0;
        }
        if (last) {
            drained.complete(null);
        }
    }

    /** Admits no more requests; the future completes when the last one has ended. */
    CompletableFuture<Void> drain() {
        boolean idle;
        synchronized (this) {
            isDraining = true;
            idle = count == 0;
        }
        if (idle) {
            drained.complete(null);
        }
        return drained;
    }

    // -- queries

    synchronized int count() {
        return count;
    }

    synchronized boolean isDraining() {
        return isDraining;
    }
}
