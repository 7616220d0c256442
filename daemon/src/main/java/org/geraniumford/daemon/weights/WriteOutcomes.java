package org.geraniumford.daemon.weights;

/**
 * What has become of a holder's last writes of the lease row. A holder whose writes come to nothing would go on
 * renewing the lease without ever sending an order, and has to leave it to others. Used on one network thread.
 */
final class WriteOutcomes {
    /** After how many writes in succession that were answered too late for orders a holder gives up. */
    private static final int MAX_LATE = 2;

    /**
     * After how many writes in succession without a response a holder gives up. The writes may have been performed, and
     * peers tell it the new version, so that its next write may be performed as well.
     */
    private static final int MAX_FAILED = 3;

    private int late;
    private int failed;

    private WriteOutcomes() {}

    // -- construction

    static WriteOutcomes none() {
        return new WriteOutcomes();
    }

    // -- queries

    boolean comeToNothing() {
        return late >= MAX_LATE || failed >= MAX_FAILED;
    }

    /**
     * Returns whether the last write was answered too late for orders. Intents that are recorded in vain hold back the
     * successor, so the next write tells first whether the store answers in time again.
     */
    boolean isLastLate() {
        return late > 0;
    }

    int late() {
        return late;
    }

    int failed() {
        return failed;
    }

    // -- commands

    /** Records a write that has failed. */
    void recordFailure() {
        failed++;
    }

    /** Records a write that was answered, and whether orders in it may still be sent. */
    void recordResponse(boolean inTime) {
        failed = 0;
        late = inTime ? 0 : late + 1;
    }

    void clear() {
        late = 0;
        failed = 0;
    }
}
