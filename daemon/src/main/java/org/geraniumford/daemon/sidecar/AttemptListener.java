package org.geraniumford.daemon.sidecar;

import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.transport.engine.CompletionEvent;

/** Receives the progress and the end of running attempts. Its methods run on the sidecar's worker thread. */
interface AttemptListener {
    /** Called when the engine begins the prefill. */
    void started(ModelAttempt attempt, CompletionEvent.Started started);

    /** Called when the first output token arrives. */
    void prefilled(ModelAttempt attempt);

    /** Called when the whole response was sent to the peer. */
    void ended(ModelAttempt attempt);

    /**
     * Called when the attempt ends without a complete response, before any message about the end is sent to the peer.
     */
    void stopped(ModelAttempt attempt);

    /** Called when a refusal must be sent to the peer; for a running attempt, after {@link #stopped}. */
    void refused(ModelAttempt attempt, Refusal refusal);
}
