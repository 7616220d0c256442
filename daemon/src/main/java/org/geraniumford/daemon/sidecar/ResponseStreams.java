package org.geraniumford.daemon.sidecar;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.engine.CompletionEvent;
import org.geraniumford.transport.engine.CompletionListener;
import org.geraniumford.transport.engine.Engine;
import org.geraniumford.transport.engine.EngineStream;

/** The responses that the engine is sending. Each is forwarded in order, as far as its peer's credit allows. */
final class ResponseStreams {
    private static final Duration STALL_TIMEOUT = Duration.ofSeconds(20);

    private final Engine engine;
    private final EventRing ring;
    private final AttemptListener attemptListener;
    private final Map<AttemptId, ModelAttempt> running = new LinkedHashMap<>();

    private ResponseStreams(Engine engine, EventRing ring, AttemptListener attemptListener) {
        this.engine = engine;
        this.ring = ring;
        this.attemptListener = attemptListener;
    }

    // -- construction

    static ResponseStreams of(Engine engine, EventRing ring, AttemptListener attemptListener) {
        return new ResponseStreams(engine, ring, attemptListener);
    }

    // -- commands: from peers

    void run(ModelAttempt attempt, long nowNanos) {
        running.put(attempt.id(), attempt);
        attempt.attach(engine.run(attempt.engineRequest(), completionListener(attempt)), nowNanos);
    }

    void applyCredit(Message.Credit credit) {
        find(credit.id()).ifPresent(attempt -> {
            attempt.window().extendCredit(credit.upToOffset());
            flush(attempt);
        });
    }

    /** Ends an attempt and cancels it at the engine. Nothing is sent to the peer. */
    void stop(ModelAttempt attempt) {
        running.remove(attempt.id());
        attempt.stream().ifPresent(EngineStream::abort);
        engine.cancel(attempt.engineRequestId());
        attemptListener.stopped(attempt);
    }

    // -- commands: from the engine

    void handleEvents(ModelAttempt attempt, List<CompletionEvent> events, long nowNanos) {
        attempt.recordReceived(nowNanos);
        // An event can end the attempt; the events after it are then ignored.
        events.stream().filter(event -> isRunning(attempt)).forEach(event -> handleEvent(attempt, event));
        if (isRunning(attempt)) {
            flush(attempt);
        }
    }

    void handleFailure(ModelAttempt attempt, Refusal refusal) {
        if (isRunning(attempt)) {
            running.remove(attempt.id());
            attemptListener.stopped(attempt);
            attemptListener.refused(attempt, refusal);
        }
    }

    /** Ends the attempts whose peer has disconnected, whose events were lost or whose engine has stalled. */
    void checkProgress(long nowNanos) {
        all().forEach(attempt -> checkProgress(attempt, nowNanos));
    }

    // -- queries

    int size() {
        return running.size();
    }

    List<ModelAttempt> all() {
        return List.copyOf(running.values());
    }

    Optional<ModelAttempt> find(AttemptId id) {
        return Optional.ofNullable(running.get(id));
    }

    private boolean isRunning(ModelAttempt attempt) {
        return running.get(attempt.id()) == attempt;
    }

    // -- events of the engine

    private void handleEvent(ModelAttempt attempt, CompletionEvent event) {
        if (event instanceof CompletionEvent.Started started) {
            handleStarted(attempt, started);
        } else if (event instanceof CompletionEvent.Token token) {
            handleToken(attempt, token);
        } else if (event instanceof CompletionEvent.End end) {
            attempt.recordEnd(end);
        }
    }

    private void handleStarted(ModelAttempt attempt, CompletionEvent.Started started) {
        if (verifyEngine(attempt, started.incarnation(), started.weightsDigest())) {
            attemptListener.started(attempt, started);
            attempt.peer()
                    .send(new Message.Started(
                            attempt.id(), started.incarnation(), started.weightsDigest(), started.cachedBlocks()));
        }
    }

    private void handleToken(ModelAttempt attempt, CompletionEvent.Token token) {
        if (!verifyEngine(attempt, token.incarnation(), token.weightsDigest())) {
            return;
        }
        int expectedOffset = attempt.window().nextOffset();
        if (!attempt.window().add(token.offset(), token.text())) {
            String detail = "the engine sent offset " + token.offset() + " in place of " + expectedOffset;
            abandon(attempt, Refusal.of(Reason.STREAM_BROKEN, Verdict.MAY_HAVE_RUN, detail));
        } else if (attempt.markPrefilled()) {
            attemptListener.prefilled(attempt);
        }
    }

    /** Returns whether an event comes from the incarnation and weights that the attempt requires; if not, ends it. */
    private boolean verifyEngine(ModelAttempt attempt, long incarnation, String weightsDigest) {
        Optional<Refusal> refusal = attempt.engineMismatch(incarnation, weightsDigest);
        refusal.ifPresent(mismatch -> abandon(attempt, mismatch));
        return refusal.isEmpty();
    }

    /**
     * Sends the tokens that the credit covers. If tokens remain, the engine is paused; otherwise, the response is
     * completed if it has ended, and else the engine continues.
     */
    private void flush(ModelAttempt attempt) {
        attempt.window().takeSendable().ifPresent(chunk -> attempt.peer().send(chunk));
        if (!attempt.window().isEmpty()) {
            attempt.stream().ifPresent(EngineStream::pause);
        } else if (attempt.end().isPresent()) {
            complete(attempt, attempt.end().get());
        } else {
            attempt.stream().ifPresent(EngineStream::resume);
        }
    }

    private void complete(ModelAttempt attempt, CompletionEvent.End end) {
        running.remove(attempt.id());
        attempt.peer()
                .send(new Message.End(
                        attempt.id(), end.offset(), end.finishReason(), end.promptTokens(), end.cachedTokens()));
        attemptListener.ended(attempt);
    }

    // -- early termination

    private void checkProgress(ModelAttempt attempt, long nowNanos) {
        // While tokens are unsent, the engine is paused until the peer grants credit.
        boolean stalled =
                attempt.window().isEmpty() && nowNanos - attempt.lastReceivedNanos() > STALL_TIMEOUT.toNanos();
        if (!attempt.peer().isOpen()) {
            stop(attempt);
        } else if (attempt.lostEventRefusal().isPresent()) {
            abandon(attempt, attempt.lostEventRefusal().get());
        } else if (stalled) {
            abandon(attempt, Refusal.of(Reason.TIMEOUT, Verdict.MAY_HAVE_RUN, "the engine stopped answering"));
        }
    }

    private void abandon(ModelAttempt attempt, Refusal refusal) {
        stop(attempt);
        attemptListener.refused(attempt, refusal);
    }

    private CompletionListener completionListener(ModelAttempt attempt) {
        return new CompletionListener() {
            @Override
            public void received(List<CompletionEvent> events) {
                offer(attempt, new SidecarEvent.CompletionEventsReceived(attempt, events));
            }

            @Override
            public void failed(Refusal refusal) {
                offer(attempt, new SidecarEvent.AttemptFailed(attempt, refusal));
            }
        };
    }

    private void offer(ModelAttempt attempt, SidecarEvent event) {
        if (!ring.offer(event)) {
            attempt.markEventLost(Refusal.of(Reason.RING_FULL, Verdict.MAY_HAVE_RUN, "the sidecar's ring was full"));
        }
    }
}
