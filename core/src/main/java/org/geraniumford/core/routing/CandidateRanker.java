package org.geraniumford.core.routing;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumford.core.wire.Message;

/**
 * Ranks candidates by the expected time to first token.
 *
 * @param costs the cost terms
 */
public record CandidateRanker(RoutingCosts costs) {
    /** Checks the component. */
    public CandidateRanker {
        requireNonNull(costs, "costs is null");
    }

    // -- queries

    /**
     * Estimates the cost of each candidate and sorts them by it.
     *
     * @param query the requirements of the attempt
     * @param candidates the hosts to which the attempt may be sent
     * @param responses the probe responses that arrived, by host
     * @param probedHosts the names of the hosts that were probed
     * @return the costs of the candidates, the lowest first, without those whose probe response reports them as leaving
     *     or down; candidates of equal cost in the given order
     */
    public List<CandidateCost> rank(
            RouteQuery query,
            List<Candidate> candidates,
            Map<String, Message.ProbeResponse> responses,
            Set<String> probedHosts) {
        List<CandidateCost> baseCosts = candidates.stream()
                .filter(candidate ->
                        isAvailable(responses.get(candidate.engine().host())))
                .map(candidate -> costWithoutDuplication(query, candidate, responses, probedHosts))
                .toList();
        Optional<CandidateCost> mostCached = baseCosts.stream()
                .filter(cost -> !costs.isSaturated(cost.waitMicros()))
                .max(Comparator.comparingInt(CandidateCost::pendingPieces));
        boolean prefixHostAvailable = baseCosts.stream()
                .anyMatch(cost -> cost.source() == Candidate.Source.PREFIX && !costs.isSaturated(cost.waitMicros()));
        return baseCosts.stream()
                .map(cost -> withDuplication(query, cost, mostCached, prefixHostAvailable))
                .sorted(Comparator.comparingLong(CandidateCost::costMicros))
                .toList();
    }

    private static boolean isAvailable(Message.ProbeResponse response) {
        return response == null || (!response.leaving() && response.backendIncarnation() != 0);
    }

    private CandidateCost costWithoutDuplication(
            RouteQuery query,
            Candidate candidate,
            Map<String, Message.ProbeResponse> responses,
            Set<String> probedHosts) {
        ConnectedEngine engine = candidate.engine();
        Optional<Message.ProbeResponse> response = Optional.ofNullable(responses.get(engine.host()));
        int hintedBlocks = query.hint()
                .filter(hint -> hint.host().equals(engine.host()))
                .map(Hint::blockCount)
                .orElse(0);
        int cachedBlocks =
                clamp(query, response.map(Message.ProbeResponse::cachedBlocks).orElse(hintedBlocks));
        int pendingBlocks = clamp(
                query,
                Math.max(
                        cachedBlocks,
                        response.map(Message.ProbeResponse::pendingBlocks).orElse(cachedBlocks)));
        long waitMicros =
                response.map(Message.ProbeResponse::estimatedWaitMicros).orElse(engine.waitMicros());
        CandidateCost.ProbeOutcome outcomeWithoutResponse = probedHosts.contains(engine.host())
                ? CandidateCost.ProbeOutcome.LOST
                : CandidateCost.ProbeOutcome.NOT_ASKED;
        return new CandidateCost(
                engine.host(),
                candidate.source(),
                response.isPresent() ? CandidateCost.ProbeOutcome.ANSWERED : outcomeWithoutResponse,
                cachedBlocks,
                pendingBlocks,
                waitMicros,
                prefillMicros(query, cachedBlocks, pendingBlocks),
                engine.failureDomain().equals(query.failureDomain()) ? 0 : costs.crossDomainMicros(),
                0);
    }

    private static int clamp(RouteQuery query, int blockCount) {
        return Math.max(0, Math.min(blockCount, query.blocks().size()));
    }

    private long prefillMicros(RouteQuery query, int cachedBlocks, int pendingBlocks) {
        long uncachedTokens = query.tokensFrom(pendingBlocks);
        long pendingTokens = query.tokensFrom(cachedBlocks) - uncachedTokens;
        return costs.prefillMicros(uncachedTokens + pendingTokens * costs.pendingFactor());
    }

    /**
     * Adds the penalty for tokens that would be prefilled more than once, because another candidate has them cached or
     * because the host is a spare one, which rendezvous hashing does not pick for later requests with the shared
     * prefix. Saturated hosts cause no penalty for other candidates, because they are not worth waiting for.
     */
    private CandidateCost withDuplication(
            RouteQuery query, CandidateCost cost, Optional<CandidateCost> mostCached, boolean prefixHostAvailable) {
        long duplicatedTokens = mostCached
                .map(other -> query.tokensFrom(cost.pendingPieces()) - query.tokensFrom(other.pendingPieces()))
                .orElse(0L);
        long misplacedTokens = cost.source() == Candidate.Source.SPARE && prefixHostAvailable
                ? query.tokensFrom(cost.pendingPieces()) - query.tokensFrom(query.sharedBlockCount())
                : 0;
        long penalizedTokens = Math.max(0, Math.max(duplicatedTokens, misplacedTokens));
        return new CandidateCost(
                cost.host(),
                cost.source(),
                cost.known(),
                cost.cachedPieces(),
                cost.pendingPieces(),
                cost.waitMicros(),
                cost.prefillMicros(),
                cost.distanceMicros(),
                costs.prefillMicros(penalizedTokens * costs.duplicationFactor()));
    }
}
