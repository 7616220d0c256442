package org.geraniumford.core.request;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumford.core.configuration.PriorityClass;
import org.geraniumford.core.prefix.CacheScope;
import org.geraniumford.core.prefix.PrefixChain;
import org.geraniumford.core.routing.Hint;
import org.geraniumford.core.routing.RouteQuery;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.Message;

/**
 * A model request as the entry accepted it.
 *
 * @param requestId the request's identifier, unique across all entries
 * @param modelVersion the model version that answers
 * @param scope what the cached prefixes belong to
 * @param priorityClass how urgent the request is
 * @param customerWeight the customer's share in the fair queues, at least 1
 * @param chain the prompt's pieces
 * @param prompt the whole prompt text
 * @param maxTokens the longest answer, in tokens
 * @param acceptedNanos when the entry accepted it
 * @param failureDomain the entry's failure domain
 * @param salt a number that differs between requests
 */
public record RequestSpec(
        String requestId,
        String modelVersion,
        CacheScope scope,
        PriorityClass priorityClass,
        int customerWeight,
        PrefixChain chain,
        String prompt,
        int maxTokens,
        long acceptedNanos,
        String failureDomain,
        long salt) {
    private static final long NANOS_PER_MICRO = 1_000;

    /** Checks the components. */
    public RequestSpec {
        requireNonNull(requestId, "requestId is null");
        requireNonNull(modelVersion, "modelVersion is null");
        requireNonNull(scope, "scope is null");
        requireNonNull(priorityClass, "priorityClass is null");
        requireNonNull(chain, "chain is null");
        requireNonNull(prompt, "prompt is null");
        requireNonNull(failureDomain, "failureDomain is null");
    }

    // -- queries

    /**
     * Returns when the first token is due.
     *
     * @return nanoseconds of the monotonic clock
     */
    public long deadlineNanos() {
        return acceptedNanos + priorityClass.firstTokenDeadline().toNanos();
    }

    /**
     * Returns what an attempt needs of the fleet.
     *
     * @param hint where a prefix of the prompt was last served
     * @param avoided hosts that failed an earlier attempt
     * @return the query
     */
    public RouteQuery routeQuery(Optional<Hint> hint, Set<String> avoided) {
        return new RouteQuery(
                modelVersion,
                scope.weightsDigest(),
                failureDomain,
                chain.blocks(),
                chain.levelEnds(),
                hint,
                avoided,
                salt);
    }

    /**
     * Returns the question what a sidecar holds of the prompt.
     *
     * @param id echoed in the answer
     * @return the probe
     */
    public Message.Probe probeMessage(long id) {
        List<Long> digests =
                chain.blocks().stream().map(piece -> piece.key().shortDigest()).toList();
        return new Message.Probe(id, scope.weightsDigest(), digests);
    }

    Message.Submit submitMessage(AttemptId id, long incarnation, long timeLeftNanos, int resumeOffset, int credit) {
        return new Message.Submit(
                id,
                modelVersion,
                scope,
                priorityClass.name(),
                priorityClass.rank(),
                customerWeight,
                timeLeftNanos / NANOS_PER_MICRO,
                incarnation,
                chain.blocks(),
                prompt,
                maxTokens,
                resumeOffset,
                credit);
    }
}
