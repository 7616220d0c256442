package org.geraniumford.core.forward;

import static java.util.Objects.requireNonNull;

import java.util.function.BooleanSupplier;
import org.geraniumford.core.service.Route;
import org.geraniumford.core.verdict.Verdict;

/**
 * Decides the attempts of one forwarded request. A request that is not idempotent is retried only while no attempt may
 * have run. An idempotent request is also retried after failures, within its maximum number of attempts, its deadline
 * and the retry budget. A stream that has started is never retried, but resumed if its route allows it or another
 * server holds a backup. Not thread-safe.
 */
public final class ForwardMachine {
    /** The number of servers that may reject one request or be unreachable before the caller gets an error. */
    private static final int MAX_NOT_RUN_ATTEMPTS = 3;

    private final boolean idempotent;
    private final boolean resumable;
    private final int maxAttempts;
    private int notRunAttempts;
    private int possiblyRunAttempts;
    private boolean responseStarted;

    private ForwardMachine(boolean idempotent, boolean resumable, int maxAttempts) {
        this.idempotent = idempotent;
        this.resumable = resumable;
        this.maxAttempts = maxAttempts;
    }

    // -- construction

    /**
     * Creates the machine of a new request.
     *
     * @param route the request's route
     * @return a machine before the first attempt
     */
    public static ForwardMachine of(Route route) {
        requireNonNull(route, "route is null");
        return new ForwardMachine(route.isIdempotent(), route.resumable(), route.maxAttempts());
    }

    // -- queries

    /**
     * Returns whether the request may have had an effect.
     *
     * @return true once an attempt has ended that may have run
     */
    public boolean mayHaveRun() {
        return possiblyRunAttempts > 0;
    }

    /**
     * Returns whether the caller has received the start of a stream.
     *
     * @return true after {@link #markResponseStarted}
     */
    public boolean responseStarted() {
        return responseStarted;
    }

    /**
     * Returns whether the current attempt may be abandoned for one at another server, although it may have run.
     *
     * @return true if the request is idempotent, or its started stream is resumable, and an attempt is left
     */
    public boolean canAbandonAttempt() {
        return (responseStarted ? resumable : idempotent) && possiblyRunAttempts + 1 < maxAttempts;
    }

    // -- commands

    /** Records that the start of a stream was delivered to the caller. */
    public void markResponseStarted() {
        responseStarted = true;
    }

    /**
     * Decides the next step after an attempt that ended without a usable response.
     *
     * @param failure how the attempt ended
     * @param hasTimeLeft whether a further attempt can end before the deadline
     * @param backupAvailable whether another server holds a backup of this attempt
     * @param retryBudget consumes one retry of the retry budget and returns whether one was available; called only if a
     *     retry is otherwise allowed
     * @return the next step
     */
    public NextStep handleAttemptFailure(
            AttemptFailure failure, boolean hasTimeLeft, boolean backupAvailable, BooleanSupplier retryBudget) {
        requireNonNull(failure, "failure is null");
        if (failure.verdict() == Verdict.NOT_RUN) {
            notRunAttempts++;
        } else {
            possiblyRunAttempts++;
        }
        if (backupAvailable
                && responseStarted
                && hasTimeLeft
                && failure instanceof AttemptFailure.Broken
                && retryBudget.getAsBoolean()) {
            return NextStep.CONTINUE_AT_COPY;
        }
        boolean retryAllowed = hasTimeLeft && isRetryAllowed(failure) && hasAttemptsLeft();
        if (retryAllowed && (!failure.requestSent() || retryBudget.getAsBoolean())) {
            return responseStarted ? NextStep.RESUME_ELSEWHERE : NextStep.TRY_ELSEWHERE;
        }
        return finalStep(failure);
    }

    private boolean isRetryAllowed(AttemptFailure failure) {
        if (responseStarted) {
            return resumable;
        }
        return failure.verdict().allowsRetry(idempotent) && (idempotent || possiblyRunAttempts == 0);
    }

    private boolean hasAttemptsLeft() {
        return possiblyRunAttempts < maxAttempts && notRunAttempts < MAX_NOT_RUN_ATTEMPTS;
    }

    private NextStep finalStep(AttemptFailure failure) {
        if (responseStarted) {
            return NextStep.CUT_OFF;
        }
        if (failure instanceof AttemptFailure.ErrorAnswer) {
            return NextStep.PASS_ERROR_ON;
        }
        return possiblyRunAttempts > 0 ? NextStep.FAIL : NextStep.REFUSE;
    }
}
