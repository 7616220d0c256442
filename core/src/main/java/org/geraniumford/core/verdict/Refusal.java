package org.geraniumford.core.verdict;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * The router's error response to a request, or a sidecar's to an attempt.
 *
 * @param reason why the request was refused
 * @param verdict whether the request may have run
 * @param detail a human-readable description of what was wrong and where; never contains text of prompts or keys
 * @param retryAfter the delay after which a retry may succeed; zero if a retry is useless
 */
public record Refusal(Reason reason, Verdict verdict, String detail, Duration retryAfter) {
    /** The shortest retry-after delay of a retryable refusal. */
    public static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);

    /** Checks that no component is null. */
    public Refusal {
        requireNonNull(reason, "reason is null");
        requireNonNull(verdict, "verdict is null");
        requireNonNull(detail, "detail is null");
        requireNonNull(retryAfter, "retryAfter is null");
    }

    // -- construction

    /**
     * Creates a refusal of a request that no backend server ran.
     *
     * @param reason why the request was refused
     * @param detail a description of what was wrong and where
     * @return a refusal with the verdict {@link Verdict#NOT_RUN} and the retry-after delay of {@link #of}
     */
    public static Refusal notRun(Reason reason, String detail) {
        return of(reason, Verdict.NOT_RUN, detail);
    }

    /**
     * Creates a refusal.
     *
     * @param reason why the request was refused
     * @param verdict whether the request may have run
     * @param detail a description of what was wrong and where
     * @return a refusal with the retry-after delay {@link #MIN_RETRY_AFTER} if the reason is retryable, else zero
     */
    public static Refusal of(Reason reason, Verdict verdict, String detail) {
        return new Refusal(reason, verdict, detail, reason.retryable() ? MIN_RETRY_AFTER : Duration.ZERO);
    }

    // -- combinators

    /**
     * Returns this refusal with another retry-after delay.
     *
     * @param delay the delay after which a retry may succeed
     * @return a new refusal
     */
    public Refusal withRetryAfter(Duration delay) {
        return new Refusal(reason, verdict, detail, delay);
    }

    /**
     * Returns this refusal with another verdict.
     *
     * @param newVerdict whether the request may have run
     * @return a new refusal
     */
    public Refusal withVerdict(Verdict newVerdict) {
        return new Refusal(reason, newVerdict, detail, retryAfter);
    }

    /**
     * Returns an exception with which a future of the refused request can fail.
     *
     * @return a new exception that carries this refusal
     */
    public RefusalException toException() {
        return new RefusalException(this);
    }
}
