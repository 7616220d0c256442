package org.geraniumford.daemon.sidecar;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.geraniumford.core.admission.AdmissionRequest;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.engine.CompletionEvent;
import org.geraniumford.transport.engine.EngineRequest;
import org.geraniumford.transport.engine.EngineStream;

/**
 * One attempt of a model request at this sidecar. Used on the sidecar's worker thread only, except for
 * {@link #markEventLost}.
 */
final class ModelAttempt {
    /** The memory that the admission queue counts for one block of a waiting request. */
    private static final int BYTES_PER_BLOCK = 64;

    private final Peer peer;
    private final Message.Submit submit;
    private final CreditWindow window;
    private Optional<EngineStream> stream = Optional.empty();
    private Optional<CompletionEvent.End> end = Optional.empty();
    private boolean prefilled;
    private long queuedNanos;
    private long lastReceivedNanos;
    private volatile Refusal lostEventRefusal;

    private ModelAttempt(Peer peer, Message.Submit submit) {
        this.peer = peer;
        this.submit = submit;
        this.window = CreditWindow.of(submit);
    }

    // -- construction

    static ModelAttempt of(Peer peer, Message.Submit submit) {
        return new ModelAttempt(peer, submit);
    }

    // -- commands

    void attach(EngineStream engineStream, long nowNanos) {
        stream = Optional.of(engineStream);
        lastReceivedNanos = nowNanos;
    }

    /** Records that events of the response arrived from the engine. */
    void recordReceived(long nowNanos) {
        lastReceivedNanos = nowNanos;
    }

    /** Records that the prefill has ended; returns false if this was recorded before. */
    boolean markPrefilled() {
        boolean first = !prefilled;
        prefilled = true;
        return first;
    }

    void recordEnd(CompletionEvent.End event) {
        end = Optional.of(event);
    }

    /**
     * Records that the ring did not accept an event of this attempt, so that the next tick ends the attempt with the
     * refusal. Callable from any thread.
     */
    void markEventLost(Refusal refusal) {
        lostEventRefusal = refusal;
    }

    // -- queries

    AttemptId id() {
        return submit.id();
    }

    Peer peer() {
        return peer;
    }

    Message.Submit submit() {
        return submit;
    }

    CreditWindow window() {
        return window;
    }

    Optional<EngineStream> stream() {
        return stream;
    }

    Optional<CompletionEvent.End> end() {
        return end;
    }

    /** Returns when the last events arrived from the engine, or when the attempt was sent to it if none has arrived. */
    long lastReceivedNanos() {
        return lastReceivedNanos;
    }

    Optional<Refusal> lostEventRefusal() {
        return Optional.ofNullable(lostEventRefusal);
    }

    /**
     * Returns the refusal of a response whose incarnation or weights differ from those that the request requires; empty
     * if the response may be forwarded.
     */
    Optional<Refusal> engineMismatch(long incarnation, String weightsDigest) {
        if (!submit.scope().weightsDigest().equals(weightsDigest)) {
            return Optional.of(
                    Refusal.of(Reason.WRONG_WEIGHTS, Verdict.MAY_HAVE_RUN, "the answer comes from other weights"));
        }
        if (submit.expectedIncarnation() != 0 && submit.expectedIncarnation() != incarnation) {
            return Optional.of(Refusal.of(
                    Reason.STALE_INCARNATION, Verdict.MAY_HAVE_RUN, "the answer comes from another incarnation"));
        }
        return Optional.empty();
    }

    /** Returns the identifier at the engine, unique to this attempt, so that cancelling it cancels no other attempt. */
    String engineRequestId() {
        return id().requestId() + '.' + id().number();
    }

    EngineRequest engineRequest() {
        return new EngineRequest(
                engineRequestId(),
                submit.model(),
                submit.scope(),
                submit.prompt(),
                submit.blocks(),
                submit.priority(),
                submit.maxTokens(),
                submit.resumeOffset());
    }

    /** Returns the time since the call of {@link #admissionRequest}, which starts the wait in the admission queue. */
    long queueTimeNanos(long nowNanos) {
        return nowNanos - queuedNanos;
    }

    /**
     * Creates the request to the admission queue, and records the given time as the start of the wait. The prompt
     * counts as two bytes of memory per character.
     */
    AdmissionRequest admissionRequest(long nowNanos) {
        queuedNanos = nowNanos;
        return new AdmissionRequest(
                id(),
                submit.scope().customer(),
                Math.max(1, submit.customerWeight()),
                submit.priority(),
                nowNanos + TimeUnit.MICROSECONDS.toNanos(submit.timeLeftMicros()),
                submit.blocks(),
                submit.maxTokens(),
                2L * submit.prompt().length()
                        + (long) BYTES_PER_BLOCK * submit.blocks().size());
    }
}
