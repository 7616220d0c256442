package org.geraniumford.daemon.entry;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.geraniumford.core.retry.RetryDecision;
import org.geraniumford.core.retry.RetryPolicy;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.RefusalException;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.Message;

/** Makes calls that may be repeated, on one host after the other until one answers. */
final class IdempotentServiceCaller implements ServiceCaller {
    private final SidecarClient sidecars;
    private final RetryPolicy retryPolicy = RetryPolicy.ofDefaults();

    IdempotentServiceCaller(SidecarClient gateway) {
        this.sidecars = gateway;
    }

    // -- commands

    @Override
    public CompletableFuture<Message.CallResponse> call(ServiceRequest request) {
        if (!request.service().isIdempotent(request.method())) {
            Refusal refusal = Refusal.notRun(Reason.STORE_UNAVAILABLE, "no claim can be recorded");
            return CompletableFuture.failedFuture(refusal.toException());
        }
        return attempt(request, new AttemptId(request.requestId(), 1), Verdict.NOT_RUN);
    }

    /** Makes one attempt; the verdict is what the attempts before it say together. */
    private CompletableFuture<Message.CallResponse> attempt(ServiceRequest request, AttemptId id, Verdict before) {
        List<String> hosts = sidecars.candidates(request.service().name());
        if (hosts.isEmpty()) {
            Refusal refusal = Refusal.of(Reason.NO_BACKEND, before, "no live host serves the service");
            return CompletableFuture.failedFuture(refusal.toException());
        }
        String host = hosts.get((id.number() - 1) % hosts.size());
        return sidecars.call(host, message(request, id))
                .exceptionallyCompose(failure -> retryOrFail(request, id, before, failure));
    }

    private CompletableFuture<Message.CallResponse> retryOrFail(
            ServiceRequest request, AttemptId id, Verdict before, Throwable failure) {
        Refusal refusal = RefusalException.refusalOf(failure, Verdict.MAY_HAVE_RUN);
        Verdict worst = before.compareTo(refusal.verdict()) > 0 ? before : refusal.verdict();
        RetryDecision decision = retryPolicy.decide(refusal, true, id.number(), true);
        return decision == RetryDecision.RETRY
                ? attempt(request, id.next(), worst)
                : CompletableFuture.failedFuture(refusal.withVerdict(worst).toException());
    }

    private static Message.Call message(ServiceRequest request, AttemptId id) {
        long timeout = TimeUnit.NANOSECONDS.toMicros(request.service().timeout().toNanos());
        return new Message.Call(
                id, "", 0, request.method(), request.path(), request.contentType(), request.body(), timeout);
    }
}
