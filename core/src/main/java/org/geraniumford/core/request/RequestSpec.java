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
 * @param modelVersion the name of the model version that serves the request
 * @param scope the scope within which cached prefixes may be shared
 * @param priorityClass the priority class, which sets the deadline of the first token
 * @param customerWeight the customer's weight in the fair queues, at least 1
 * @param chain the blocks of the prompt
 * @param prompt the whole prompt text
 * @param maxTokens the maximum number of output tokens
 * @param acceptedNanos when the entry accepted the request, in nanoseconds of a monotonic clock
 * @param failureDomain the entry's failure domain
 * @param salt a number that differs between requests, used for random choices of hosts
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

    /** Checks that no component is null. */
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
     * Returns the time at which the first token is due.
     *
     * @return the deadline, in nanoseconds of the monotonic clock
     */
    public long deadlineNanos() {
        return acceptedNanos + priorityClass.firstTokenDeadline().toNanos();
    }

    /**
     * Returns the query for the candidates of an attempt.
     *
     * @param hint where a prefix of the prompt was last served; empty if not known
     * @param avoidedHosts the hosts that failed an earlier attempt
     * @return the query
     */
    public RouteQuery routeQuery(Optional<Hint> hint, Set<String> avoidedHosts) {
        return new RouteQuery(
                modelVersion,
                scope.weightsDigest(),
                failureDomain,
                chain.blocks(),
                chain.levelEnds(),
                hint,
                avoidedHosts,
                salt);
    }

    /**
     * Returns the message that probes a sidecar for the prompt blocks that its engine caches.
     *
     * @param id the identifier that the response echoes
     * @return the probe
     */
    public Message.Probe probeMessage(long id) {
        List<Long> digests =
                chain.blocks().stream().map(block -> block.key().shortDigest()).toList();
        return new Message.Probe(id, scope.weightsDigest(), digests);
    }

    /** Returns the message that submits an attempt, whose first token is due in {@code remainingNanos}. */
    Message.Submit submitMessage(AttemptId id, long incarnation, long remainingNanos, int resumeOffset, int credit) {
        return new Message.Submit(
                id,
                modelVersion,
                scope,
                priorityClass.name(),
                priorityClass.rank(),
                customerWeight,
                remainingNanos / NANOS_PER_MICRO,
                incarnation,
                chain.blocks(),
                prompt,
                maxTokens,
                resumeOffset,
                credit);
    }
}
