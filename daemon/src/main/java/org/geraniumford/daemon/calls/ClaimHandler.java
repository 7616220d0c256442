package org.geraniumford.daemon.calls;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.geraniumford.core.configuration.Sha256;
import org.geraniumford.core.idempotency.CallResponse;
import org.geraniumford.core.idempotency.Claim;
import org.geraniumford.core.idempotency.ClaimAction;
import org.geraniumford.core.idempotency.ClaimEvent;
import org.geraniumford.core.idempotency.ClaimMachine;
import org.geraniumford.core.idempotency.GroupCommit;
import org.geraniumford.core.store.Store;
import org.geraniumford.core.store.StoreRequest;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.RefusalException;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.Message;
import org.geraniumford.daemon.entry.ServiceCaller.ServiceRequest;
import org.geraniumford.daemon.entry.SidecarClient;
import org.geraniumford.transport.log.LogEvent;
import org.geraniumford.transport.worker.WorkerHandler;

/** Drives the claims of all running calls on one thread. */
final class ClaimHandler implements WorkerHandler<ClaimHandlerEvent> {
    private final Store store;
    private final SidecarClient sidecars;
    private final String tokenPrefix;
    private final GroupCommit groupCommit = GroupCommit.empty();
    private final Map<Long, ActiveCall> activeCalls = new HashMap<>();
    private volatile Predicate<ClaimHandlerEvent> ring = input -> false;

    private record ActiveCall(ClaimHandlerEvent.CallRequested call, ClaimMachine machine) {}

    ClaimHandler(Store store, SidecarClient gateway, String tokenPrefix) {
        this.store = store;
        this.sidecars = gateway;
        this.tokenPrefix = tokenPrefix;
    }

    // -- commands

    /** Sets where outcomes of other threads are handed in. */
    void attach(Predicate<ClaimHandlerEvent> offer) {
        ring = offer;
    }

    @Override
    public void handle(ClaimHandlerEvent input) {
        if (input instanceof ClaimHandlerEvent.CallRequested begin) {
            start(begin);
        } else if (input instanceof ClaimHandlerEvent.ActionCompleted happened) {
            applyEvent(happened.id(), happened.event());
        } else if (input instanceof ClaimHandlerEvent.StoreRequestDue due) {
            sendStoreRequest(due.id(), due.request());
        } else if (input instanceof ClaimHandlerEvent.TransactionCompleted committed) {
            groupCommit
                    .handleResponse(committed.response())
                    .forEach(one -> applyEvent(one.id(), new ClaimEvent.StoreResponseReceived(one.response())));
            commit();
        }
    }

    // -- events

    private void start(ClaimHandlerEvent.CallRequested begin) {
        ServiceRequest request = begin.request();
        List<String> hosts = sidecars.candidates(request.service().name());
        if (hosts.isEmpty()) {
            begin.onEnd().run();
            Refusal refusal = Refusal.notRun(
                    Reason.NO_BACKEND,
                    "no live host serves " + request.service().name());
            begin.completion().completeExceptionally(refusal.toException());
            return;
        }
        String row = Claim.rowName(
                request.customer().name(), request.idempotencyKey().orElseThrow());
        ClaimMachine.Request call =
                new ClaimMachine.Request(row, digest(request), tokenPrefix + "/" + begin.id(), hosts);
        advance(begin, ClaimMachine.start(call, nowMicros()));
    }

    private void applyEvent(long id, ClaimEvent event) {
        ActiveCall active = activeCalls.get(id);
        if (active != null) {
            advance(active.call(), active.machine().apply(event, nowMicros()));
        }
    }

    private void advance(ClaimHandlerEvent.CallRequested begin, ClaimMachine.Step step) {
        if (step.next().isEnded()) {
            activeCalls.remove(begin.id());
            begin.onEnd().run();
        } else {
            activeCalls.put(begin.id(), new ActiveCall(begin, step.next()));
        }
        step.actions().forEach(action -> perform(begin, action));
    }

    // -- actions

    private void perform(ClaimHandlerEvent.CallRequested begin, ClaimAction action) {
        if (action instanceof ClaimAction.SendStoreRequest ask) {
            scheduleStoreRequest(begin.id(), ask);
        } else if (action instanceof ClaimAction.SendCall send) {
            send(begin, send);
        } else if (action instanceof ClaimAction.CloseToken close) {
            closeToken(begin.id(), close);
        } else if (action instanceof ClaimAction.Respond answer) {
            respond(begin, answer.response());
        } else if (action instanceof ClaimAction.Refuse refuse) {
            refuse(begin, refuse.refusal());
        }
    }

    private void scheduleStoreRequest(long id, ClaimAction.SendStoreRequest ask) {
        if (ask.delayMicros() == 0) {
            sendStoreRequest(id, ask.request());
            return;
        }
        CompletableFuture.delayedExecutor(ask.delayMicros(), TimeUnit.MICROSECONDS)
                .execute(() -> offer(new ClaimHandlerEvent.StoreRequestDue(id, ask.request())));
    }

    private void sendStoreRequest(long id, StoreRequest request) {
        if (request instanceof StoreRequest.Transact transact) {
            groupCommit.add(id, transact.operations().get(0));
            commit();
            return;
        }
        request.perform(store)
                .thenAccept(reply ->
                        offer(new ClaimHandlerEvent.ActionCompleted(id, new ClaimEvent.StoreResponseReceived(reply))));
    }

    private void commit() {
        groupCommit
                .startNextTransaction()
                .ifPresent(transaction -> transaction
                        .perform(store)
                        .thenAccept(reply -> offer(new ClaimHandlerEvent.TransactionCompleted(reply))));
    }

    private void send(ClaimHandlerEvent.CallRequested begin, ClaimAction.SendCall send) {
        ServiceRequest request = begin.request();
        Message.Call call = new Message.Call(
                new AttemptId(request.requestId(), send.attempt()),
                send.token(),
                send.issuedMicros(),
                request.method(),
                request.path(),
                request.contentType(),
                request.body(),
                TimeUnit.NANOSECONDS.toMicros(request.service().timeout().toNanos()));
        sidecars.call(send.host(), call)
                .whenComplete((result, failure) ->
                        offer(new ClaimHandlerEvent.ActionCompleted(begin.id(), outcome(result, failure))));
    }

    private static ClaimEvent outcome(Message.CallResponse result, Throwable failure) {
        return failure == null
                ? new ClaimEvent.CallResponseReceived(
                        new CallResponse(result.status(), result.contentType(), result.body()))
                : new ClaimEvent.CallFailed(RefusalException.refusalOf(failure, Verdict.MAY_HAVE_RUN));
    }

    private void closeToken(long id, ClaimAction.CloseToken close) {
        sidecars.closeToken(close.host(), close.token(), close.issuedMicros())
                .whenComplete((state, failure) -> offer(new ClaimHandlerEvent.ActionCompleted(
                        id,
                        failure == null
                                ? new ClaimEvent.TokenStateReceived(state)
                                : new ClaimEvent.TokenStateUnavailable())));
    }

    private static void respond(ClaimHandlerEvent.CallRequested begin, CallResponse answer) {
        AttemptId id = new AttemptId(begin.request().requestId(), 1);
        begin.completion().complete(new Message.CallResponse(id, answer.status(), answer.contentType(), answer.body()));
    }

    private static void refuse(ClaimHandlerEvent.CallRequested begin, Refusal refusal) {
        LogEvent.of("call_refused")
                .with("request", begin.request().requestId())
                .with("reason", refusal.reason().label())
                .with("verdict", refusal.verdict().label())
                .debug();
        begin.completion().completeExceptionally(refusal.toException());
    }

    // -- parts

    private void offer(ClaimHandlerEvent input) {
        if (!ring.test(input)) {
            LogEvent.of("ledger_ring_full").warn();
        }
    }

    private static String digest(ServiceRequest request) {
        return Sha256.hex(Sha256.hex(request.service().name())
                + Sha256.hex(request.method())
                + Sha256.hex(request.path())
                + Sha256.hex(request.contentType())
                + Sha256.hex(request.body()));
    }

    private static long nowMicros() {
        return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    }
}
