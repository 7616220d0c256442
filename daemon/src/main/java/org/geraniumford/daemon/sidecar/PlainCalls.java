package org.geraniumford.daemon.sidecar;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.geraniumford.core.tokens.TokenRegister;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.RefusalException;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.log.LogEvent;

/** The calls that one sidecar has passed to its plain service. Used on the sidecar's duty only. */
final class PlainCalls {
    private static final int MAX_RUNNING = 1024;

    private final Function<Message.Call, CompletableFuture<Message.CallResult>> service;
    private final TokenRegister tokens;
    private final EventRing ring;
    private final SidecarMetrics metrics;
    private int running;

    private PlainCalls(
            Function<Message.Call, CompletableFuture<Message.CallResult>> service,
            TokenRegister tokens,
            EventRing ring,
            SidecarMetrics metrics) {
        this.service = service;
        this.tokens = tokens;
        this.ring = ring;
        this.metrics = metrics;
    }

    // -- construction

    static PlainCalls of(
            Function<Message.Call, CompletableFuture<Message.CallResult>> service,
            TokenRegister tokens,
            EventRing ring,
            SidecarMetrics metrics) {
        return new PlainCalls(service, tokens, ring, metrics);
    }

    // -- commands

    void call(Peer peer, Message.Call call) {
        Optional<Refusal> refusal = check(call);
        if (refusal.isPresent()) {
            refuse(peer, call.id(), refusal.get());
            return;
        }
        running++;
        service.apply(call).whenComplete((result, failure) -> {
            Message answer = failure == null
                    ? result
                    : new Message.Refused(call.id(), RefusalException.refusalOf(failure, Verdict.MAY_HAVE_RUN));
            deliver(peer, answer);
        });
    }

    void answered(Peer peer, Message answer) {
        running--;
        if (answer instanceof Message.Refused refused) {
            refuse(peer, refused.id(), refused.refusal());
        } else {
            peer.send(answer);
        }
    }

    void closeToken(Peer peer, Message.CloseToken question) {
        peer.send(new Message.TokenAnswer(
                question.id(), tokens.close(question.attemptToken(), question.tokenIssuedMicros())));
    }

    void refuse(Peer peer, AttemptId id, Refusal refusal) {
        metrics.reasons().refused(refusal.reason());
        LogEvent.of("call_refused")
                .with("request", id.requestId())
                .with("attempt", id.attempt())
                .with("reason", refusal.reason().label())
                .with("verdict", refusal.verdict().label())
                .info();
        peer.send(new Message.Refused(id, refusal));
    }

    // -- queries

    int size() {
        return running;
    }

    private Optional<Refusal> check(Message.Call call) {
        if (running >= MAX_RUNNING) {
            return Optional.of(Refusal.notRun(Reason.QUEUE_FULL, "the plain service has too many calls"));
        }
        return call.attemptToken().isEmpty()
                ? Optional.empty()
                : tokens.pass(call.attemptToken(), call.tokenIssuedMicros());
    }

    /** A call that ran must be answered, so a full ring only delays it. */
    private void deliver(Peer peer, Message answer) {
        Delivery.untilTaken(ring, new SidecarEvent.CallAnswered(peer, answer));
    }
}
