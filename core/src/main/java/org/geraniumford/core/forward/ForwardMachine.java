package org.geraniumford.core.forward;

import static java.util.Objects.requireNonNull;

import java.util.function.BooleanSupplier;
import org.geraniumford.core.service.Route;
import org.geraniumford.core.verdict.Verdict;

/**
 * The tries of one request. A request that is not idempotent is sent again only while no try may have run; an
 * idempotent one also after failures, within its attempts, its time and the retry budget. Not thread-safe.
 */
public final class ForwardMachine {
    /** How many servers may turn one request away or be out of reach before the caller is told. */
    private static final int MAX_NOT_RUN_ATTEMPTS = 3;

    private final boolean idempotent;
    private final boolean resumable;
    private final int maxAttempts;
    private int notRunAttempts;
    private int possiblyRunAttempts;
    private boolean responseStarted;
    private boolean backupAvailable;

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
     * @return a machine before the first try
     */
    public static ForwardMachine of(Route route) {
        requireNonNull(route, "route is null");
        return new ForwardMachine(route.isIdempotent(), route.resumable(), route.maxAttempts());
    }

    // -- queries

    /**
     * Says whether the request may have had an effect.
     *
     * @return true once a try ended that may have run
     */
    public boolean mayHaveRun() {
        return possiblyRunAttempts > 0;
    }

    /**
     * Says whether a part of the answer was delivered.
     *
     * @return true once a stream has begun
     */
    public boolean responseStarted() {
        return responseStarted;
    }

    /**
     * Says whether the request may be sent elsewhere although the present try may have run.
     *
     * @return true if it is idempotent and has another attempt
     */
    public boolean canAbandonAttempt() {
        return (responseStarted ? resumable : idempotent) && possiblyRunAttempts + 1 < maxAttempts;
    }

    // -- commands

    /** Notes that the first part of a stream is delivered. */
    public void markResponseStarted() {
        responseStarted = true;
    }

    /** Notes that another server holds a copy of the memory of the try that begins. */
    public void markBackupAvailable() {
        backupAvailable = true;
    }

    /**
     * Decides what follows a try that ended without a usable answer.
     *
     * @param end how it ended
     * @param timeLeft whether another try can end in time
     * @param budget takes one repeat from the retry budget; asked only if a repeat is otherwise allowed
     * @return the next step
     */
    public NextStep handleAttemptFailure(AttemptFailure end, boolean timeLeft, BooleanSupplier budget) {
        requireNonNull(end, "end is null");
        if (end.verdict() == Verdict.NOT_RUN) {
            notRunAttempts++;
        } else {
            possiblyRunAttempts++;
        }
        if (backupAvailable
                && responseStarted
                && timeLeft
                && end instanceof AttemptFailure.Broken
                && budget.getAsBoolean()) {
            backupAvailable = false;
            return NextStep.CONTINUE_AT_COPY;
        }
        boolean allowed = timeLeft && isRetryAllowed(end) && hasAttemptsLeft();
        if (allowed && (!end.requestSent() || budget.getAsBoolean())) {
            return responseStarted ? NextStep.RESUME_ELSEWHERE : NextStep.TRY_ELSEWHERE;
        }
        return finalStep(end);
    }

    private boolean isRetryAllowed(AttemptFailure end) {
        if (responseStarted) {
            return resumable;
        }
        return end.verdict().allowsRetry(idempotent) && (idempotent || possiblyRunAttempts == 0);
    }

    private boolean hasAttemptsLeft() {
        return possiblyRunAttempts < maxAttempts && notRunAttempts < MAX_NOT_RUN_ATTEMPTS;
    }

    private NextStep finalStep(AttemptFailure end) {
        if (responseStarted) {
            return NextStep.CUT_OFF;
        }
        if (end instanceof AttemptFailure.ErrorAnswer) {
            return NextStep.PASS_ERROR_ON;
        }
        return possiblyRunAttempts > 0 ? NextStep.FAIL : NextStep.REFUSE;
    }
}
