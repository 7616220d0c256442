package org.geraniumford.core.request;

import java.time.Duration;
import org.geraniumford.core.retry.RetryPolicy;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.Message;

/** Decides what follows an attempt that did not finish the answer. Model requests are idempotent. */
record AttemptFailureHandler(RetryPolicy retryPolicy) {
    // -- transitions

    /** Ends the attempt, tells its host so, and goes on or gives up. */
    RequestStep cancelAttempt(RequestState state, String host, Refusal refusal, RequestContext context) {
        RequestAction cancel = new RequestAction.Send(
                host, new Message.Cancel(state.assembler().attemptId()));
        return RequestStep.of(state, cancel).then(before -> endAttempt(before, host, refusal, context));
    }

    /** Ends the attempt on a host, and goes on or gives up. */
    RequestStep endAttempt(RequestState state, String host, Refusal refusal, RequestContext context) {
        return endAttempt(state.withAvoidedHost(host), refusal, context);
    }

    /** Ends the attempt, and goes on or gives up. */
    RequestStep endAttempt(RequestState state, Refusal refusal, RequestContext context) {
        RequestState ended = state.withAttemptVerdict(verdictOf(state, refusal));
        if (isDeadlinePassed(ended, context)) {
            Refusal late = Refusal.of(
                    Reason.DEADLINE_PASSED,
                    ended.verdict(),
                    "the deadline passed before a retry; the last attempt: " + refusal.detail());
            return fail(ended, late.withRetryAfter(longerRetryAfter(late, refusal)));
        }
        return switch (retryPolicy.decide(refusal, true, ended.attemptNumber(), context.retryAvailable())) {
            case RETRY -> retry(ended, refusal, context);
            case FINAL -> fail(ended, refusal);
            case BUDGET_SPENT -> failBudgetSpent(ended, refusal);
        };
    }

    /** Ends the request with an error. */
    RequestStep fail(RequestState state, Refusal refusal) {
        boolean begun = state.assembler().deliveredTokens() > 0;
        Refusal told = begun ? streamBrokenRefusal(refusal) : refusal;
        return RequestStep.of(
                state.withPhase(new Phase.Done()), new RequestAction.Fail(told.withVerdict(state.verdict())));
    }

    /** Ends the request of a caller that no answer can reach. */
    RequestStep abandon(RequestState state, Reason reason) {
        RequestStep step = RequestStep.of(state.withPhase(new Phase.Done()), new RequestAction.Abandon(reason));
        return state.phase() instanceof Phase.Running running
                ? step.withAction(new RequestAction.Send(
                        running.host(), new Message.Cancel(state.assembler().attemptId())))
                : step;
    }

    private RequestStep retry(RequestState state, Refusal refusal, RequestContext context) {
        long wait = retryPolicy.backoffNanos(state.attemptNumber(), context.random());
        RequestState next = state.withAssembler(
                        state.assembler().resume(state.assembler().attemptId().next()))
                .withPhase(new Phase.Scheduled(context.nowNanos() + wait));
        return RequestStep.of(next, new RequestAction.CountRetry(refusal.reason()));
    }

    private RequestStep failBudgetSpent(RequestState state, Refusal refusal) {
        Refusal spent = Refusal.of(
                Reason.RETRY_BUDGET_SPENT,
                state.verdict(),
                "no retry is left after: " + refusal.reason().label());
        return fail(state, spent.withRetryAfter(longerRetryAfter(spent, refusal)));
    }

    // -- queries

    private static Verdict verdictOf(RequestState state, Refusal refusal) {
        boolean ran = state.phase() instanceof Phase.Running running && running.started();
        return ran ? Verdict.RAN : refusal.verdict();
    }

    private static boolean isDeadlinePassed(RequestState state, RequestContext context) {
        return state.assembler().deliveredTokens() == 0
                && context.nowNanos() - state.spec().deadlineNanos() >= 0;
    }

    private static Refusal streamBrokenRefusal(Refusal refusal) {
        Refusal broken = Refusal.of(
                Reason.STREAM_BROKEN, refusal.verdict(), refusal.reason().label() + ": " + refusal.detail());
        return broken.withRetryAfter(longerRetryAfter(broken, refusal));
    }

    private static Duration longerRetryAfter(Refusal first, Refusal second) {
        return first.retryAfter().compareTo(second.retryAfter()) >= 0 ? first.retryAfter() : second.retryAfter();
    }
}
