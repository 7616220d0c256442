package org.geraniumford.core.verdict;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.CompletionException;

/** The failure of a future whose request was refused. It has no stack trace. */
public final class RefusalException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    /**
     * Creates a failure.
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
     * @return the refusal carried
     */
    public Refusal refusal() {
        return refusal;
    }

    /**
     * Finds the refusal in the failure of a future.
     *
     * @param failure a failure, possibly wrapped in {@link CompletionException}
     * @param verdict the verdict to give a failure that carries no refusal
     * @return the refusal carried, or one with {@link Reason#INTERNAL}
     */
    public static Refusal refusalOf(Throwable failure, Verdict verdict) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
        return cause instanceof RefusalException refused
                ? refused.refusal()
                : Refusal.of(Reason.INTERNAL, verdict, cause.getClass().getSimpleName());
    }
}
