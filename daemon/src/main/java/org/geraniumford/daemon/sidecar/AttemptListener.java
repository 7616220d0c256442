package org.geraniumford.daemon.sidecar;

import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.transport.engine.CompletionEvent;

/** Learns what becomes of running attempts. Its methods run on the sidecar's duty. */
interface AttemptListener {
    /** The engine began the prefill. */
    void started(ModelAttempt attempt, CompletionEvent.Started started);

    /** The first answer token came. */
    void prefilled(ModelAttempt attempt);

    /** The whole answer was sent. */
    void ended(ModelAttempt attempt);

    /** The attempt is over without a whole answer; nothing was sent to the peer about it. */
    void stopped(ModelAttempt attempt);

    /** The attempt is over, and its peer is to be told why. */
    void refused(ModelAttempt attempt, Refusal refusal);
}
