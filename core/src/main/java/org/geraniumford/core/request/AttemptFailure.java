package org.geraniumford.core.request;

import java.time.Duration;
import org.geraniumford.core.retry.RetryPolicy;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.Message;

/** Decides what follows an attempt that did not finish the answer. Model requests are idempotent. */
record AttemptFailure(RetryPolicy retries) {
    // -- transitions

    /** Ends the attempt, tells its host so, and goes on or gives up. */
    RequestStep cancelled(RequestState state, String host, Refusal refusal, RequestContext context) {
        RequestAction cancel = new RequestAction.Send(
                host, new Message.Cancel(state.assembler().attempt()));
        return RequestStep.of(state, cancel).then(before -> after(before, host, refusal, context));
    }

    /** Ends the attempt on a host, and goes on or gives up. */
    RequestStep after(RequestState state, String host, Refusal refusal, RequestContext context) {
        return after(state.avoiding(host), refusal, context);
    }

    /** Ends the attempt, and goes on or gives up. */
    RequestStep after(RequestState state, Refusal refusal, RequestContext context) {
        RequestState ended = state.ended(verdictOf(state, refusal));
        if (tooLate(ended, context)) {
            Refusal late = Refusal.of(
                    Reason.DEADLINE_PASSED,
                    ended.verdict(),
                    "the deadline passed before a retry; the last attempt: " + refusal.detail());
            return fail(ended, late.withRetryAfter(longer(late, refusal)));
        }
        return switch (retries.decide(refusal, true, ended.attempt(), context.retryAvailable())) {
            case RETRY -> retry(ended, refusal, context);
            case FINAL -> fail(ended, refusal);
            case BUDGET_SPENT -> budgetSpent(ended, refusal);
        };
    }

    /** Ends the request with an error. */
    RequestStep fail(RequestState state, Refusal refusal) {
        boolean begun = state.assembler().delivered() > 0;
        Refusal told = begun ? broken(refusal) : refusal;
        return RequestStep.of(state.in(new Phase.Done()), new RequestAction.Fail(told.withVerdict(state.verdict())));
    }

    /** Ends the request of a caller that no answer can reach. */
    RequestStep abandon(RequestState state, Reason reason) {
        RequestStep step = RequestStep.of(state.in(new Phase.Done()), new RequestAction.Abandon(reason));
        return state.phase() instanceof Phase.Running running
                ? step.and(new RequestAction.Send(
                        running.host(), new Message.Cancel(state.assembler().attempt())))
                : step;
    }

    private RequestStep retry(RequestState state, Refusal refusal, RequestContext context) {
        long wait = retries.backoffNanos(state.attempt(), context.random());
        RequestState next = state.with(
                        state.assembler().resume(state.assembler().attempt().next()))
                .in(new Phase.Waiting(context.nowNanos() + wait));
        return RequestStep.of(next, new RequestAction.Retry(refusal.reason()));
    }

    private RequestStep budgetSpent(RequestState state, Refusal refusal) {
        Refusal spent = Refusal.of(
                Reason.RETRY_BUDGET_SPENT,
                state.verdict(),
                "no retry is left after: " + refusal.reason().label());
        return fail(state, spent.withRetryAfter(longer(spent, refusal)));
    }

    // -- queries

    private static Verdict verdictOf(RequestState state, Refusal refusal) {
        boolean ran = state.phase() instanceof Phase.Running running && running.started();
        return ran ? Verdict.RAN : refusal.verdict();
    }

    private static boolean tooLate(RequestState state, RequestContext context) {
        return state.assembler().delivered() == 0
                && context.nowNanos() - state.spec().deadlineNanos() >= 0;
    }

    private static Refusal broken(Refusal refusal) {
        Refusal broken = Refusal.of(
                Reason.STREAM_BROKEN, refusal.verdict(), refusal.reason().label() + ": " + refusal.detail());
        return broken.withRetryAfter(longer(broken, refusal));
    }

    private static Duration longer(Refusal first, Refusal second) {
        return first.retryAfter().compareTo(second.retryAfter()) >= 0 ? first.retryAfter() : second.retryAfter();
    }
}
