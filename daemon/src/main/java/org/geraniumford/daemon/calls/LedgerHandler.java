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
import org.geraniumford.core.ledger.CallAnswer;
import org.geraniumford.core.ledger.Claim;
import org.geraniumford.core.ledger.ClaimAction;
import org.geraniumford.core.ledger.ClaimEvent;
import org.geraniumford.core.ledger.ClaimMachine;
import org.geraniumford.core.ledger.GroupCommit;
import org.geraniumford.core.store.Store;
import org.geraniumford.core.store.StoreRequest;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.RefusalException;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.Message;
import org.geraniumford.daemon.entry.CallGateway;
import org.geraniumford.daemon.entry.ServiceCaller.ServiceRequest;
import org.geraniumford.transport.duty.DutyHandler;
import org.geraniumford.transport.log.LogEvent;

/** Drives the claims of all running calls on one thread. */
final class LedgerHandler implements DutyHandler<LedgerInput> {
    private final Store store;
    private final CallGateway gateway;
    private final String tokenPrefix;
    private final GroupCommit commits = GroupCommit.empty();
    private final Map<Long, Active> calls = new HashMap<>();
    private volatile Predicate<LedgerInput> ring = input -> false;

    private record Active(LedgerInput.Begin begin, ClaimMachine machine) {}

    LedgerHandler(Store store, CallGateway gateway, String tokenPrefix) {
        this.store = store;
        this.gateway = gateway;
        this.tokenPrefix = tokenPrefix;
    }

    // -- commands

    /** Sets where outcomes of other threads are handed in. */
    void attach(Predicate<LedgerInput> offer) {
        ring = offer;
    }

    @Override
    public void handle(LedgerInput input) {
        if (input instanceof LedgerInput.Begin begin) {
            begin(begin);
        } else if (input instanceof LedgerInput.Happened happened) {
            happened(happened.id(), happened.event());
        } else if (input instanceof LedgerInput.Due due) {
            ask(due.id(), due.request());
        } else if (input instanceof LedgerInput.Committed committed) {
            commits.answered(committed.reply())
                    .forEach(one -> happened(one.id(), new ClaimEvent.StoreAnswered(one.reply())));
            commit();
        }
    }

    // -- events

    private void begin(LedgerInput.Begin begin) {
        ServiceRequest request = begin.request();
        List<String> hosts = gateway.candidates(request.service().name());
        if (hosts.isEmpty()) {
            begin.ended().run();
            Refusal refusal = Refusal.notRun(
                    Reason.NO_BACKEND,
                    "no live host serves " + request.service().name());
            begin.completion().completeExceptionally(refusal.toException());
            return;
        }
        String row =
                Claim.row(request.customer().name(), request.idempotencyKey().orElseThrow());
        ClaimMachine.Request call =
                new ClaimMachine.Request(row, digest(request), tokenPrefix + "/" + begin.id(), hosts);
        advance(begin, ClaimMachine.start(call, nowMicros()));
    }

    private void happened(long id, ClaimEvent event) {
        Active active = calls.get(id);
        if (active != null) {
            advance(active.begin(), active.machine().apply(event, nowMicros()));
        }
    }

    private void advance(LedgerInput.Begin begin, ClaimMachine.Step step) {
        if (step.next().ended()) {
            calls.remove(begin.id());
            begin.ended().run();
        } else {
            calls.put(begin.id(), new Active(begin, step.next()));
        }
        step.actions().forEach(action -> perform(begin, action));
    }

    // -- actions

    private void perform(LedgerInput.Begin begin, ClaimAction action) {
        if (action instanceof ClaimAction.Ask ask) {
            askAfter(begin.id(), ask);
        } else if (action instanceof ClaimAction.Send send) {
            send(begin, send);
        } else if (action instanceof ClaimAction.CloseToken close) {
            closeToken(begin.id(), close);
        } else if (action instanceof ClaimAction.Answer answer) {
            answer(begin, answer.answer());
        } else if (action instanceof ClaimAction.Refuse refuse) {
            refuse(begin, refuse.refusal());
        }
    }

    private void askAfter(long id, ClaimAction.Ask ask) {
        if (ask.delayMicros() == 0) {
            ask(id, ask.request());
            return;
        }
        CompletableFuture.delayedExecutor(ask.delayMicros(), TimeUnit.MICROSECONDS)
                .execute(() -> offer(new LedgerInput.Due(id, ask.request())));
    }

    private void ask(long id, StoreRequest request) {
        if (request instanceof StoreRequest.Transact transact) {
            commits.add(id, transact.operations().get(0));
            commit();
            return;
        }
        request.perform(store)
                .thenAccept(reply -> offer(new LedgerInput.Happened(id, new ClaimEvent.StoreAnswered(reply))));
    }

    private void commit() {
        commits.next()
                .ifPresent(transaction ->
                        transaction.perform(store).thenAccept(reply -> offer(new LedgerInput.Committed(reply))));
    }

    private void send(LedgerInput.Begin begin, ClaimAction.Send send) {
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
        gateway.call(send.host(), call)
                .whenComplete(
                        (result, failure) -> offer(new LedgerInput.Happened(begin.id(), outcome(result, failure))));
    }

    private static ClaimEvent outcome(Message.CallResult result, Throwable failure) {
        return failure == null
                ? new ClaimEvent.CallAnswered(new CallAnswer(result.status(), result.contentType(), result.body()))
                : new ClaimEvent.CallFailed(RefusalException.refusalOf(failure, Verdict.MAY_HAVE_RUN));
    }

    private void closeToken(long id, ClaimAction.CloseToken close) {
        gateway.closeToken(close.host(), close.token(), close.issuedMicros())
                .whenComplete((state, failure) -> offer(new LedgerInput.Happened(
                        id, failure == null ? new ClaimEvent.TokenAnswered(state) : new ClaimEvent.TokenUnanswered())));
    }

    private static void answer(LedgerInput.Begin begin, CallAnswer answer) {
        AttemptId id = new AttemptId(begin.request().requestId(), 1);
        begin.completion().complete(new Message.CallResult(id, answer.status(), answer.contentType(), answer.body()));
    }

    private static void refuse(LedgerInput.Begin begin, Refusal refusal) {
        LogEvent.of("call_refused")
                .with("request", begin.request().requestId())
                .with("reason", refusal.reason().label())
                .with("verdict", refusal.verdict().label())
                .debug();
        begin.completion().completeExceptionally(refusal.toException());
    }

    // -- parts

    private void offer(LedgerInput input) {
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
