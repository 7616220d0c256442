package org.geraniumford.core.verdict;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * A final answer that is not the result asked for.
 *
 * @param reason why the request was refused
 * @param verdict whether the request may have run
 * @param detail what was wrong and where, for a person; holds no prompt or key text
 * @param retryAfter the time after which trying again makes sense; zero if it does not
 */
public record Refusal(Reason reason, Verdict verdict, String detail, Duration retryAfter) {
    /** The shortest time to come back that a retryable refusal carries. */
    public static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);

    /** Checks the components. */
    public Refusal {
        requireNonNull(reason, "reason is null");
        requireNonNull(verdict, "verdict is null");
        requireNonNull(detail, "detail is null");
        requireNonNull(retryAfter, "retryAfter is null");
    }

    // -- construction

    /**
     * Creates a refusal of a request that was not passed to a backend server.
     *
     * @param reason why
     * @param detail what was wrong and where
     * @return a refusal with the verdict {@link Verdict#NOT_RUN} and the shortest time to come back
     */
    public static Refusal notRun(Reason reason, String detail) {
        return of(reason, Verdict.NOT_RUN, detail);
    }

    /**
     * Creates a refusal.
     *
     * @param reason why
     * @param verdict whether the request may have run
     * @param detail what was wrong and where
     * @return a refusal with the shortest time to come back if the reason is retryable
     */
    public static Refusal of(Reason reason, Verdict verdict, String detail) {
        return new Refusal(reason, verdict, detail, reason.retryable() ? MIN_RETRY_AFTER : Duration.ZERO);
    }

    // -- combinators

    /**
     * Returns this refusal with another time to come back.
     *
     * @param duration the time after which trying again makes sense
     * @return a new refusal
     */
    public Refusal withRetryAfter(Duration duration) {
        return new Refusal(reason, verdict, detail, duration);
    }

    /**
     * Returns this refusal with another verdict.
     *
     * @param other whether the request may have run
     * @return a new refusal
     */
    public Refusal withVerdict(Verdict other) {
        return new Refusal(reason, other, detail, retryAfter);
    }

    /**
     * Returns this refusal as a failure for a future.
     *
     * @return an exception that carries this refusal
     */
    public RefusalException toException() {
        return new RefusalException(this);
    }
}
