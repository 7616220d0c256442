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

/**
 * Makes idempotent calls: sends each to one host after the other until one responds, a failure allows no retry or the
 * attempts are used up. Refuses all other calls, because it cannot record a claim, which would reserve their
 * idempotency keys. The number of attempts of each call is limited, but there is no retry budget for all calls
 * together.
 */
final class IdempotentServiceCaller implements ServiceCaller {
    private final SidecarClient sidecars;
    private final RetryPolicy retryPolicy = RetryPolicy.ofDefaults();

    IdempotentServiceCaller(SidecarClient sidecars) {
        this.sidecars = sidecars;
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

    /** Makes one attempt. {@code priorVerdict} is the combined verdict of the earlier attempts. */
    private CompletableFuture<Message.CallResponse> attempt(
            ServiceRequest request, AttemptId id, Verdict priorVerdict) {
        List<String> hosts = sidecars.candidates(request.service().name());
        if (hosts.isEmpty()) {
            Refusal refusal = Refusal.of(Reason.NO_BACKEND, priorVerdict, "no live host serves the service");
            return CompletableFuture.failedFuture(refusal.toException());
        }
        String host = hosts.get((id.number() - 1) % hosts.size());
        return sidecars.call(host, callMessage(request, id))
                .exceptionallyCompose(failure -> retryOrFail(request, id, priorVerdict, failure));
    }

    private CompletableFuture<Message.CallResponse> retryOrFail(
            ServiceRequest request, AttemptId id, Verdict priorVerdict, Throwable failure) {
        Refusal refusal = RefusalException.refusalOf(failure, Verdict.MAY_HAVE_RUN);
        // Of several verdicts, the one declared last prevails.
        Verdict combinedVerdict = priorVerdict.compareTo(refusal.verdict()) > 0 ? priorVerdict : refusal.verdict();
        RetryDecision decision = retryPolicy.decide(refusal, true, id.number(), true);
        return decision == RetryDecision.RETRY
                ? attempt(request, id.next(), combinedVerdict)
                : CompletableFuture.failedFuture(
                        refusal.withVerdict(combinedVerdict).toException());
    }

    /** Returns the message of an attempt. Its attempt token is empty, because an idempotent call has no claim. */
    private static Message.Call callMessage(ServiceRequest request, AttemptId id) {
        long timeoutMicros =
                TimeUnit.NANOSECONDS.toMicros(request.service().timeout().toNanos());
        return new Message.Call(
                id, "", 0, request.method(), request.path(), request.contentType(), request.body(), timeoutMicros);
    }
}
