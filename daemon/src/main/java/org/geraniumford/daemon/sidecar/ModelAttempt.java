package org.geraniumford.daemon.sidecar;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.geraniumford.core.admission.AdmissionRequest;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.engine.EngineAnswer;
import org.geraniumford.transport.engine.EngineRequest;
import org.geraniumford.transport.engine.EngineStream;

/** One attempt of a model request at this sidecar. Used on the sidecar's duty, but for {@link #lose}. */
final class ModelAttempt {
    private static final int BYTES_PER_PIECE = 64;

    private final Peer peer;
    private final Message.Submit submit;
    private final AnswerWindow window;
    private Optional<EngineStream> stream = Optional.empty();
    private Optional<EngineAnswer.End> end = Optional.empty();
    private boolean prefilled;
    private long offeredNanos;
    private long heardNanos;
    private volatile Refusal lost;

    private ModelAttempt(Peer peer, Message.Submit submit) {
        this.peer = peer;
        this.submit = submit;
        this.window = AnswerWindow.of(submit);
    }

    // -- construction

    static ModelAttempt of(Peer peer, Message.Submit submit) {
        return new ModelAttempt(peer, submit);
    }

    // -- commands

    void attach(EngineStream running, long nowNanos) {
        stream = Optional.of(running);
        heardNanos = nowNanos;
    }

    void heard(long nowNanos) {
        heardNanos = nowNanos;
    }

    /** Notes that the prefill has ended; returns false if it was noted before. */
    boolean markPrefilled() {
        boolean first = !prefilled;
        prefilled = true;
        return first;
    }

    void finish(EngineAnswer.End last) {
        end = Optional.of(last);
    }

    /** Notes from any thread that an event of this attempt could not be handed over. */
    void lose(Refusal refusal) {
        lost = refusal;
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

    AnswerWindow window() {
        return window;
    }

    Optional<EngineStream> stream() {
        return stream;
    }

    Optional<EngineAnswer.End> end() {
        return end;
    }

    long heardNanos() {
        return heardNanos;
    }

    Optional<Refusal> lost() {
        return Optional.ofNullable(lost);
    }

    /** Says why the engine's answer must not be passed on, if so. */
    Optional<Refusal> distrust(long incarnation, String weightsDigest) {
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

    /** The identifier of this attempt at the engine, so that cancelling one attempt leaves the others alone. */
    String engineId() {
        return id().requestId() + '.' + id().attempt();
    }

    EngineRequest engineRequest() {
        return new EngineRequest(
                engineId(),
                submit.model(),
                submit.scope(),
                submit.prompt(),
                submit.pieces(),
                submit.priority(),
                submit.maxTokens(),
                submit.resumeOffset());
    }

    long waitedNanos(long nowNanos) {
        return nowNanos - offeredNanos;
    }

    AdmissionRequest admissionRequest(long nowNanos) {
        offeredNanos = nowNanos;
        return new AdmissionRequest(
                id(),
                submit.scope().customer(),
                Math.max(1, submit.customerWeight()),
                submit.priority(),
                nowNanos + TimeUnit.MICROSECONDS.toNanos(submit.deadlineMicros()),
                submit.pieces(),
                submit.maxTokens(),
                2L * submit.prompt().length()
                        + (long) BYTES_PER_PIECE * submit.pieces().size());
    }
}
