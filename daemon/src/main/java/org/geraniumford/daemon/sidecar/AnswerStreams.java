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
import org.geraniumford.transport.engine.CompletionListener;
import org.geraniumford.transport.engine.Engine;
import org.geraniumford.transport.engine.EngineAnswer;
import org.geraniumford.transport.engine.EngineStream;

/** The answers that the engine is giving. Each goes out in order, as far as its peer's credit allows. */
final class AnswerStreams {
    private static final Duration STALL_TIMEOUT = Duration.ofSeconds(20);

    private final Engine engine;
    private final EventRing ring;
    private final AnswerObserver observer;
    private final Map<AttemptId, ModelAttempt> running = new LinkedHashMap<>();

    private AnswerStreams(Engine engine, EventRing ring, AnswerObserver observer) {
        this.engine = engine;
        this.ring = ring;
        this.observer = observer;
    }

    // -- construction

    static AnswerStreams of(Engine engine, EventRing ring, AnswerObserver observer) {
        return new AnswerStreams(engine, ring, observer);
    }

    // -- commands: the peer's side

    void run(ModelAttempt attempt, long nowNanos) {
        running.put(attempt.id(), attempt);
        attempt.attach(engine.run(attempt.engineRequest(), listener(attempt)), nowNanos);
    }

    void credit(Message.Credit credit) {
        find(credit.id()).ifPresent(attempt -> {
            attempt.window().credit(credit.upToOffset());
            flush(attempt);
        });
    }

    void stop(ModelAttempt attempt) {
        running.remove(attempt.id());
        attempt.stream().ifPresent(EngineStream::abort);
        engine.cancel(attempt.engineId());
        observer.stopped(attempt);
    }

    // -- commands: the engine's side

    void answered(ModelAttempt attempt, List<EngineAnswer> answers, long nowNanos) {
        attempt.heard(nowNanos);
        answers.stream().filter(answer -> isRunning(attempt)).forEach(answer -> handle(attempt, answer));
        if (isRunning(attempt)) {
            flush(attempt);
        }
    }

    void failed(ModelAttempt attempt, Refusal refusal) {
        if (isRunning(attempt)) {
            running.remove(attempt.id());
            observer.stopped(attempt);
            observer.refused(attempt, refusal);
        }
    }

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

    // -- the answer

    private void handle(ModelAttempt attempt, EngineAnswer answer) {
        if (answer instanceof EngineAnswer.Started started) {
            start(attempt, started);
        } else if (answer instanceof EngineAnswer.Token token) {
            add(attempt, token);
        } else if (answer instanceof EngineAnswer.End end) {
            attempt.finish(end);
        }
    }

    private void start(ModelAttempt attempt, EngineAnswer.Started started) {
        if (trusted(attempt, started.incarnation(), started.weightsDigest())) {
            observer.started(attempt, started);
            attempt.peer()
                    .send(new Message.Started(
                            attempt.id(), started.incarnation(), started.weightsDigest(), started.cachedPieces()));
        }
    }

    private void add(ModelAttempt attempt, EngineAnswer.Token token) {
        if (!trusted(attempt, token.incarnation(), token.weightsDigest())) {
            return;
        }
        int expected = attempt.window().nextOffset();
        if (!attempt.window().add(token.offset(), token.text())) {
            String detail = "the engine sent offset " + token.offset() + " in place of " + expected;
            abandon(attempt, Refusal.of(Reason.STREAM_BROKEN, Verdict.MAY_HAVE_RUN, detail));
        } else if (attempt.markPrefilled()) {
            observer.prefilled(attempt);
        }
    }

    private boolean trusted(ModelAttempt attempt, long incarnation, String weightsDigest) {
        Optional<Refusal> refusal = attempt.distrust(incarnation, weightsDigest);
        refusal.ifPresent(why -> abandon(attempt, why));
        return refusal.isEmpty();
    }

    private void flush(ModelAttempt attempt) {
        attempt.window().take().ifPresent(chunk -> attempt.peer().send(chunk));
        if (!attempt.window().empty()) {
            attempt.stream().ifPresent(EngineStream::pause);
        } else if (attempt.end().isPresent()) {
            end(attempt, attempt.end().get());
        } else {
            attempt.stream().ifPresent(EngineStream::resume);
        }
    }

    private void end(ModelAttempt attempt, EngineAnswer.End end) {
        running.remove(attempt.id());
        attempt.peer()
                .send(new Message.End(
                        attempt.id(), end.offset(), end.finishReason(), end.promptTokens(), end.cachedTokens()));
        observer.ended(attempt);
    }

    // -- early ends

    private void checkProgress(ModelAttempt attempt, long nowNanos) {
        boolean stalled = attempt.window().empty() && nowNanos - attempt.heardNanos() > STALL_TIMEOUT.toNanos();
        if (!attempt.peer().open()) {
            stop(attempt);
        } else if (attempt.lost().isPresent()) {
            abandon(attempt, attempt.lost().get());
        } else if (stalled) {
            abandon(attempt, Refusal.of(Reason.TIMEOUT, Verdict.MAY_HAVE_RUN, "the engine stopped answering"));
        }
    }

    private void abandon(ModelAttempt attempt, Refusal refusal) {
        stop(attempt);
        observer.refused(attempt, refusal);
    }

    private CompletionListener listener(ModelAttempt attempt) {
        return new CompletionListener() {
            @Override
            public void answered(List<EngineAnswer> answers) {
                offer(attempt, new SidecarEvent.Answered(attempt, answers));
            }

            @Override
            public void failed(Refusal refusal) {
                offer(attempt, new SidecarEvent.AttemptFailed(attempt, refusal));
            }
        };
    }

    private void offer(ModelAttempt attempt, SidecarEvent event) {
        if (!ring.offer(event)) {
            attempt.lose(Refusal.of(Reason.RING_FULL, Verdict.MAY_HAVE_RUN, "the sidecar's ring was full"));
        }
    }
}
