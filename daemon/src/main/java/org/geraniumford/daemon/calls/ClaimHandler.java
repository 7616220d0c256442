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

/** Runs the state machines of all running calls' claims on one worker thread. */
final class ClaimHandler implements WorkerHandler<ClaimHandlerEvent> {
    private final Store store;
    private final SidecarClient sidecars;
    /** The start of every attempt token of this process: its name and incarnation. */
    private final String tokenPrefix;

    private final GroupCommit groupCommit = GroupCommit.empty();
    private final Map<Long, ActiveCall> activeCalls = new HashMap<>();
    private volatile Predicate<ClaimHandlerEvent> ring = event -> false;

    private record ActiveCall(ClaimHandlerEvent.CallRequested call, ClaimMachine machine) {}

    ClaimHandler(Store store, SidecarClient sidecars, String tokenPrefix) {
        this.store = store;
        this.sidecars = sidecars;
        this.tokenPrefix = tokenPrefix;
    }

    // -- commands

    /** Sets the ring to which other threads offer outcomes. Until then, outcomes are dropped. */
    void attach(Predicate<ClaimHandlerEvent> offer) {
        ring = offer;
    }

    @Override
    public void handle(ClaimHandlerEvent event) {
        if (event instanceof ClaimHandlerEvent.CallRequested requested) {
            start(requested);
        } else if (event instanceof ClaimHandlerEvent.ActionCompleted completed) {
            applyEvent(completed.id(), completed.event());
        } else if (event instanceof ClaimHandlerEvent.StoreRequestDue due) {
            sendStoreRequest(due.id(), due.request());
        } else if (event instanceof ClaimHandlerEvent.TransactionCompleted transaction) {
            groupCommit
                    .handleResponse(transaction.response())
                    .forEach(
                            result -> applyEvent(result.id(), new ClaimEvent.StoreResponseReceived(result.response())));
            commit();
        }
    }

    // -- events

    private void start(ClaimHandlerEvent.CallRequested requested) {
        ServiceRequest request = requested.request();
        List<String> hosts = sidecars.candidates(request.service().name());
        if (hosts.isEmpty()) {
            requested.onEnd().run();
            Refusal refusal = Refusal.notRun(
                    Reason.NO_BACKEND,
                    "no live host serves " + request.service().name());
            requested.completion().completeExceptionally(refusal.toException());
            return;
        }
        String row = Claim.rowName(
                request.customer().name(), request.idempotencyKey().orElseThrow());
        ClaimMachine.Request claimRequest =
                new ClaimMachine.Request(row, digest(request), tokenPrefix + "/" + requested.id(), hosts);
        advance(requested, ClaimMachine.start(claimRequest, nowMicros()));
    }

    private void applyEvent(long id, ClaimEvent event) {
        ActiveCall active = activeCalls.get(id);
        if (active != null) {
            advance(active.call(), active.machine().apply(event, nowMicros()));
        }
    }

    private void advance(ClaimHandlerEvent.CallRequested requested, ClaimMachine.Step step) {
        if (step.next().isEnded()) {
            activeCalls.remove(requested.id());
            requested.onEnd().run();
        } else {
            activeCalls.put(requested.id(), new ActiveCall(requested, step.next()));
        }
        step.actions().forEach(action -> perform(requested, action));
    }

    // -- actions

    private void perform(ClaimHandlerEvent.CallRequested requested, ClaimAction action) {
        if (action instanceof ClaimAction.SendStoreRequest sendRequest) {
            scheduleStoreRequest(requested.id(), sendRequest);
        } else if (action instanceof ClaimAction.SendCall sendCall) {
            send(requested, sendCall);
        } else if (action instanceof ClaimAction.CloseToken close) {
            closeToken(requested.id(), close);
        } else if (action instanceof ClaimAction.Respond respond) {
            respond(requested, respond.response());
        } else if (action instanceof ClaimAction.Refuse refuse) {
            refuse(requested, refuse.refusal());
        }
    }

    private void scheduleStoreRequest(long id, ClaimAction.SendStoreRequest sendRequest) {
        if (sendRequest.delayMicros() == 0) {
            sendStoreRequest(id, sendRequest.request());
            return;
        }
        CompletableFuture.delayedExecutor(sendRequest.delayMicros(), TimeUnit.MICROSECONDS)
                .execute(() -> offer(new ClaimHandlerEvent.StoreRequestDue(id, sendRequest.request())));
    }

    /**
     * Sends a read at once. A claim's transaction consists of one write, which is added to the next transaction for the
     * writes of many calls.
     */
    private void sendStoreRequest(long id, StoreRequest request) {
        if (request instanceof StoreRequest.Transact transact) {
            groupCommit.add(id, transact.operations().get(0));
            commit();
            return;
        }
        request.perform(store)
                .thenAccept(response -> offer(
                        new ClaimHandlerEvent.ActionCompleted(id, new ClaimEvent.StoreResponseReceived(response))));
    }

    /** Starts the next transaction, unless one is running or no write is waiting. */
    private void commit() {
        groupCommit
                .startNextTransaction()
                .ifPresent(transaction -> transaction
                        .perform(store)
                        .thenAccept(response -> offer(new ClaimHandlerEvent.TransactionCompleted(response))));
    }

    private void send(ClaimHandlerEvent.CallRequested requested, ClaimAction.SendCall sendCall) {
        ServiceRequest request = requested.request();
        Message.Call call = new Message.Call(
                new AttemptId(request.requestId(), sendCall.attempt()),
                sendCall.token(),
                sendCall.issuedMicros(),
                request.method(),
                request.path(),
                request.contentType(),
                request.body(),
                TimeUnit.NANOSECONDS.toMicros(request.service().timeout().toNanos()));
        sidecars.call(sendCall.host(), call)
                .whenComplete((result, failure) ->
                        offer(new ClaimHandlerEvent.ActionCompleted(requested.id(), outcome(result, failure))));
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

    private static void respond(ClaimHandlerEvent.CallRequested requested, CallResponse response) {
        // The attempt number is a placeholder, because a replayed response belongs to an attempt of an earlier request.
        AttemptId id = new AttemptId(requested.request().requestId(), 1);
        requested
                .completion()
                .complete(new Message.CallResponse(id, response.status(), response.contentType(), response.body()));
    }

    private static void refuse(ClaimHandlerEvent.CallRequested requested, Refusal refusal) {
        LogEvent.of("call_refused")
                .with("request", requested.request().requestId())
                .with("reason", refusal.reason().label())
                .with("verdict", refusal.verdict().label())
                .debug();
        requested.completion().completeExceptionally(refusal.toException());
    }

    // -- helpers

    private void offer(ClaimHandlerEvent event) {
        if (!ring.test(event)) {
            LogEvent.of("ledger_ring_full").warn();
        }
    }

    /**
     * Returns a digest of the call, which shows whether a key is used again for another call. Each field is hashed on
     * its own, so that the boundaries between the fields count.
     */
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
