package org.geraniumford.daemon.sidecar;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.geraniumford.core.tokens.AttemptTokenRegistry;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.RefusalException;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.log.LogEvent;

/** The calls that one sidecar has passed to its plain service. Used on the sidecar's duty only. */
final class PlainServiceCalls {
    private static final int MAX_RUNNING_CALLS = 1024;

    private final Function<Message.Call, CompletableFuture<Message.CallResponse>> service;
    private final AttemptTokenRegistry tokenRegister;
    private final EventRing ring;
    private final SidecarMetrics metrics;
    private int running;

    private PlainServiceCalls(
            Function<Message.Call, CompletableFuture<Message.CallResponse>> service,
            AttemptTokenRegistry tokens,
            EventRing ring,
            SidecarMetrics metrics) {
        this.service = service;
        this.tokenRegister = tokens;
        this.ring = ring;
        this.metrics = metrics;
    }

    // -- construction

    static PlainServiceCalls of(
            Function<Message.Call, CompletableFuture<Message.CallResponse>> service,
            AttemptTokenRegistry tokens,
            EventRing ring,
            SidecarMetrics metrics) {
        return new PlainServiceCalls(service, tokens, ring, metrics);
    }

    // -- commands

    void call(Peer peer, Message.Call call) {
        Optional<Refusal> refusal = checkCall(call);
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

    void complete(Peer peer, Message answer) {
        running--;
        if (answer instanceof Message.Refused refused) {
            refuse(peer, refused.id(), refused.refusal());
        } else {
            peer.send(answer);
        }
    }

    void closeToken(Peer peer, Message.CloseToken question) {
        peer.send(new Message.CloseTokenResponse(
                question.id(), tokenRegister.close(question.attemptToken(), question.tokenIssuedMicros())));
    }

    void refuse(Peer peer, AttemptId id, Refusal refusal) {
        metrics.reasonCounters().countRefusal(refusal.reason());
        LogEvent.of("call_refused")
                .with("request", id.requestId())
                .with("attempt", id.number())
                .with("reason", refusal.reason().label())
                .with("verdict", refusal.verdict().label())
                .info();
        peer.send(new Message.Refused(id, refusal));
    }

    // -- queries

    int size() {
        return running;
    }

    private Optional<Refusal> checkCall(Message.Call call) {
        if (running >= MAX_RUNNING_CALLS) {
            return Optional.of(Refusal.notRun(Reason.QUEUE_FULL, "the plain service has too many calls"));
        }
        return call.attemptToken().isEmpty()
                ? Optional.empty()
                : tokenRegister.tryUse(call.attemptToken(), call.tokenIssuedMicros());
    }

    /** A call that ran must be answered, so a full ring only delays it. */
    private void deliver(Peer peer, Message answer) {
        EventRings.offerUntilAccepted(ring, new SidecarEvent.CallCompleted(peer, answer));
    }
}
