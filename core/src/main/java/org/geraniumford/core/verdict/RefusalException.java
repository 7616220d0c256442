package org.geraniumford.core.verdict;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.CompletionException;

/** The exception of a future whose request was refused. It has no stack trace. */
public final class RefusalException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    /**
     * Creates an exception.
     *
     * @param refusal the refusal to carry
     */
    public RefusalException(Refusal refusal) {
        super(
                requireNonNull(refusal, "refusal is null").reason().label() + ": " + refusal.detail(),
                null,
                false,
                false);
        this.refusal = refusal;
    }

    // -- queries

    /**
     * Returns the refusal.
     *
     * @return the refusal that this exception carries
     */
    public Refusal refusal() {
        return refusal;
    }

    /**
     * Returns the refusal that the exception of a future carries.
     *
     * @param failure the exception, possibly wrapped in a {@link CompletionException}
     * @param verdict the verdict to use if the exception carries no refusal
     * @return the refusal, or a new one with {@link Reason#INTERNAL} if there is none
     */
    public static Refusal refusalOf(Throwable failure, Verdict verdict) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
        return cause instanceof RefusalException refused
                ? refused.refusal()
                : Refusal.of(Reason.INTERNAL, verdict, cause.getClass().getSimpleName());
    }

    /**
     * Returns why a request failed, for the log.
     *
     * @param failure the exception of a future, possibly wrapped in a {@link CompletionException}
     * @return the label of the reason; that of {@link Reason#INTERNAL} if the exception carries no refusal
     */
    public static String reasonLabelOf(Throwable failure) {
        return refusalOf(failure, Verdict.NOT_RUN).reason().label();
    }
}
