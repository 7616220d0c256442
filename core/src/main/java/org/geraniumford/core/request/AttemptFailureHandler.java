package org.geraniumford.core.request;

import java.time.Duration;
import org.geraniumford.core.retry.RetryPolicy;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.Message;

/**
 * Decides what follows an attempt that ended without a complete response. Model requests are idempotent, so a retry is
 * safe even if the attempt ran.
 */
record AttemptFailureHandler(RetryPolicy retryPolicy) {
    // -- transitions

    /** Ends the attempt, sends a cancel to its host, and retries or fails the request. */
    RequestStep cancelAttempt(RequestState state, String host, Refusal refusal, RequestContext context) {
        RequestAction cancel = new RequestAction.Send(
                host, new Message.Cancel(state.assembler().attemptId()));
        return RequestStep.of(state, cancel).then(current -> endAttempt(current, host, refusal, context));
    }

    /** Ends the attempt, avoids its host from now on, and retries or fails the request. */
    RequestStep endAttempt(RequestState state, String host, Refusal refusal, RequestContext context) {
        return endAttempt(state.withAvoidedHost(host), refusal, context);
    }

    /** Ends the attempt, and retries or fails the request. */
    RequestStep endAttempt(RequestState state, Refusal refusal, RequestContext context) {
        RequestState ended = state.withAttemptVerdict(verdictOf(state, refusal));
        if (isDeadlinePassed(ended, context)) {
            Refusal deadlinePassed = Refusal.of(
                    Reason.DEADLINE_PASSED,
                    ended.verdict(),
                    "the deadline passed before a retry; the last attempt: " + refusal.detail());
            return fail(ended, deadlinePassed.withRetryAfter(longerRetryAfter(deadlinePassed, refusal)));
        }
        return switch (retryPolicy.decide(refusal, true, ended.attemptNumber(), context.retryAvailable())) {
            case RETRY -> retry(ended, refusal, context);
            case FINAL -> fail(ended, refusal);
            case BUDGET_SPENT -> failBudgetSpent(ended, refusal);
        };
    }

    /** Ends the request with an error; the error is {@link Reason#STREAM_BROKEN} if tokens were delivered already. */
    RequestStep fail(RequestState state, Refusal refusal) {
        boolean responseStarted = state.assembler().deliveredTokens() > 0;
        Refusal sent = responseStarted ? streamBrokenRefusal(refusal) : refusal;
        return RequestStep.of(
                state.withPhase(new Phase.Done()), new RequestAction.Fail(sent.withVerdict(state.verdict())));
    }

    /** Ends the request without a response, because the caller cannot receive one, and cancels a running attempt. */
    RequestStep abandon(RequestState state, Reason reason) {
        RequestStep step = RequestStep.of(state.withPhase(new Phase.Done()), new RequestAction.Abandon(reason));
        return state.phase() instanceof Phase.Running running
                ? step.withAction(new RequestAction.Send(
                        running.host(), new Message.Cancel(state.assembler().attemptId())))
                : step;
    }

    private RequestStep retry(RequestState state, Refusal refusal, RequestContext context) {
        long backoffNanos = retryPolicy.backoffNanos(state.attemptNumber(), context.random());
        RequestState next = state.withAssembler(
                        state.assembler().resume(state.assembler().attemptId().next()))
                .withPhase(new Phase.Scheduled(context.nowNanos() + backoffNanos));
        return RequestStep.of(next, new RequestAction.CountRetry(refusal.reason()));
    }

    private RequestStep failBudgetSpent(RequestState state, Refusal refusal) {
        Refusal budgetSpent = Refusal.of(
                Reason.RETRY_BUDGET_SPENT,
                state.verdict(),
                "no retry is left after: " + refusal.reason().label());
        return fail(state, budgetSpent.withRetryAfter(longerRetryAfter(budgetSpent, refusal)));
    }

    // -- queries

    /** Returns {@link Verdict#RAN} if the engine started the attempt, else the verdict of the refusal. */
    private static Verdict verdictOf(RequestState state, Refusal refusal) {
        boolean started = state.phase() instanceof Phase.Running running && running.started();
        return started ? Verdict.RAN : refusal.verdict();
    }

    private static boolean isDeadlinePassed(RequestState state, RequestContext context) {
        return state.assembler().deliveredTokens() == 0
                && context.nowNanos() - state.spec().deadlineNanos() >= 0;
    }

    private static Refusal streamBrokenRefusal(Refusal refusal) {
        Refusal streamBroken = Refusal.of(
                Reason.STREAM_BROKEN, refusal.verdict(), refusal.reason().label() + ": " + refusal.detail());
        return streamBroken.withRetryAfter(longerRetryAfter(streamBroken, refusal));
    }

    private static Duration longerRetryAfter(Refusal first, Refusal second) {
        return first.retryAfter().compareTo(second.retryAfter()) >= 0 ? first.retryAfter() : second.retryAfter();
    }
}
