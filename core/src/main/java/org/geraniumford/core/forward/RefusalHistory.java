package org.geraniumford.core.forward;

import static java.util.Objects.requireNonNull;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The refusals that one connection to a backend server has carried. A faulty server may write a refusal once more, in
 * front of the response to a later request that it is running; a refusal is believed only if it cannot be such a copy.
 * Immutable.
 */
public final class RefusalHistory {
    /** The number of refusals after which a connection is not reused, so that a history stays small. */
    private static final int MAX_REFUSALS = 64;

    private static final RefusalHistory EMPTY = new RefusalHistory(Set.of(), false);

    private final Set<String> refusedIds;

    /** Whether a refusal did not name the request that it answered. */
    private final boolean unnamed;

    private RefusalHistory(Set<String> refusedIds, boolean unnamed) {
        this.refusedIds = refusedIds;
        this.unnamed = unnamed;
    }

    // -- construction

    /**
     * Returns the history of a new connection.
     *
     * @return a history without refusals
     */
    public static RefusalHistory empty() {
        return EMPTY;
    }

    // -- queries

    /**
     * Returns whether a refusal is the response to the request in progress.
     *
     * @param namedId the request that the refusal names; empty if it names none
     * @param requestId the request in progress
     * @return false if it may be a copy of an earlier refusal
     */
    public boolean isCredible(Optional<String> namedId, String requestId) {
        requireNonNull(requestId, "requestId is null");
        return namedId.isPresent()
                ? namedId.get().equals(requestId) && !refusedIds.contains(requestId)
                : refusedIds.isEmpty() && !unnamed;
    }

    /**
     * Returns whether the connection may carry another request. After a refusal that names no request it may not: a
     * copy of that one could not be told from the refusal of the next request.
     *
     * @return false if the connection is to be closed
     */
    public boolean allowsReuse() {
        return !unnamed && refusedIds.size() < MAX_REFUSALS;
    }

    // -- combinators

    /**
     * Returns this history with one more refusal.
     *
     * @param namedId the request that the refusal names; empty if it names none
     * @return a new history
     */
    public RefusalHistory plus(Optional<String> namedId) {
        Set<String> ids = new LinkedHashSet<>(refusedIds);
        namedId.ifPresent(ids::add);
        return new RefusalHistory(ids, unnamed || namedId.isEmpty());
    }
}
