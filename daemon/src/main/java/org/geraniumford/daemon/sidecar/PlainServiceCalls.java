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

/** The calls that one sidecar has forwarded to its plain service. Used on the sidecar's worker thread only. */
final class PlainServiceCalls {
    private static final int MAX_RUNNING_CALLS = 1024;

    private final Function<Message.Call, CompletableFuture<Message.CallResponse>> callForwarder;
    private final AttemptTokenRegistry tokenRegistry;
    private final EventRing ring;
    private final SidecarMetrics metrics;
    private int running;

    private PlainServiceCalls(
            Function<Message.Call, CompletableFuture<Message.CallResponse>> callForwarder,
            AttemptTokenRegistry tokenRegistry,
            EventRing ring,
            SidecarMetrics metrics) {
        this.callForwarder = callForwarder;
        this.tokenRegistry = tokenRegistry;
        this.ring = ring;
        this.metrics = metrics;
    }

    // -- construction

    static PlainServiceCalls of(
            Function<Message.Call, CompletableFuture<Message.CallResponse>> callForwarder,
            AttemptTokenRegistry tokenRegistry,
            EventRing ring,
            SidecarMetrics metrics) {
        return new PlainServiceCalls(callForwarder, tokenRegistry, ring, metrics);
    }

    // -- commands

    void call(Peer peer, Message.Call call) {
        Optional<Refusal> refusal = checkCall(call);
        if (refusal.isPresent()) {
            refuse(peer, call.id(), refusal.get());
            return;
        }
        running++;
        callForwarder.apply(call).whenComplete((result, failure) -> {
            Message response = failure == null
                    ? result
                    : new Message.Refused(call.id(), RefusalException.refusalOf(failure, Verdict.MAY_HAVE_RUN));
            deliver(peer, response);
        });
    }

    void complete(Peer peer, Message response) {
        running--;
        if (response instanceof Message.Refused refused) {
            refuse(peer, refused.id(), refused.refusal());
        } else {
            peer.send(response);
        }
    }

    void closeToken(Peer peer, Message.CloseToken request) {
        peer.send(new Message.CloseTokenResponse(
                request.id(), tokenRegistry.close(request.attemptToken(), request.tokenIssuedMicros())));
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

    /** Returns how many calls have been forwarded and have no response yet. */
    int size() {
        return running;
    }

    private Optional<Refusal> checkCall(Message.Call call) {
        if (running >= MAX_RUNNING_CALLS) {
            return Optional.of(Refusal.notRun(Reason.QUEUE_FULL, "the plain service has too many calls"));
        }
        return call.attemptToken().isEmpty()
                ? Optional.empty()
                : tokenRegistry.tryUse(call.attemptToken(), call.tokenIssuedMicros());
    }

    /**
     * Offers the outcome of a call until the ring accepts it, because the peer must receive the outcome of a call that
     * ran.
     */
    private void deliver(Peer peer, Message response) {
        EventRings.offerUntilAccepted(ring, new SidecarEvent.CallCompleted(peer, response));
    }
}
