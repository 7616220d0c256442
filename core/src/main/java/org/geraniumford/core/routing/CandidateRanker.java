package org.geraniumford.core.routing;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumford.core.wire.Message;

/**
 * Compares candidates by the expected time to first token.
 *
 * @param costs the terms
 */
public record CandidateRanker(RoutingCosts costs) {
    /** Checks the component. */
    public CandidateRanker {
        requireNonNull(costs, "costs is null");
    }

    // -- queries

    /**
     * Prices the candidates.
     *
     * @param query the request
     * @param candidates the hosts that may take it
     * @param answers the probe answers that came, by host
     * @param asked the hosts that were probed
     * @return an offer for each candidate that is not leaving, the cheapest first; equal ones in the candidates' order
     */
    public List<CandidateCost> rank(
            RouteQuery query,
            List<Candidate> candidates,
            Map<String, Message.ProbeResponse> answers,
            Set<String> asked) {
        List<CandidateCost> plain = candidates.stream()
                .filter(candidate -> isAvailable(answers.get(candidate.backend().host())))
                .map(candidate -> costWithoutDuplication(query, candidate, answers, asked))
                .toList();
        Optional<CandidateCost> fullest = plain.stream()
                .filter(offer -> !costs.isSaturated(offer.waitMicros()))
                .max(Comparator.comparingInt(CandidateCost::pendingPieces));
        boolean homeTakesMore = plain.stream()
                .anyMatch(offer -> offer.source() == Candidate.Source.PREFIX && !costs.isSaturated(offer.waitMicros()));
        return plain.stream()
                .map(offer -> withDuplication(query, offer, fullest, homeTakesMore))
                .sorted(Comparator.comparingLong(CandidateCost::costMicros))
                .toList();
    }

    private static boolean isAvailable(Message.ProbeResponse answer) {
        return answer == null || (!answer.leaving() && answer.backendIncarnation() != 0);
    }

    private CandidateCost costWithoutDuplication(
            RouteQuery query, Candidate candidate, Map<String, Message.ProbeResponse> answers, Set<String> asked) {
        Backend backend = candidate.backend();
        Optional<Message.ProbeResponse> answer = Optional.ofNullable(answers.get(backend.host()));
        int hinted = query.hint()
                .filter(hint -> hint.host().equals(backend.host()))
                .map(Hint::blocks)
                .orElse(0);
        int cached =
                clamp(query, answer.map(Message.ProbeResponse::cachedBlocks).orElse(hinted));
        int pending = clamp(
                query,
                Math.max(
                        cached, answer.map(Message.ProbeResponse::pendingBlocks).orElse(cached)));
        long wait = answer.map(Message.ProbeResponse::estimatedWaitMicros).orElse(backend.waitMicros());
        CandidateCost.ProbeOutcome unanswered =
                asked.contains(backend.host()) ? CandidateCost.ProbeOutcome.LOST : CandidateCost.ProbeOutcome.NOT_ASKED;
        return new CandidateCost(
                backend.host(),
                candidate.source(),
                answer.isPresent() ? CandidateCost.ProbeOutcome.ANSWERED : unanswered,
                cached,
                pending,
                wait,
                prefillMicros(query, cached, pending),
                backend.failureDomain().equals(query.failureDomain()) ? 0 : costs.crossDomainMicros(),
                0);
    }

    private static int clamp(RouteQuery query, int pieces) {
        return Math.max(0, Math.min(pieces, query.blocks().size()));
    }

    private long prefillMicros(RouteQuery query, int cached, int pending) {
        long missed = query.tokensFrom(pending);
        long computedByOthers = query.tokensFrom(cached) - missed;
        return costs.prefillMicros(missed + computedByOthers * costs.pendingFactor());
    }

    /**
     * Adds the penalty for tokens that would be computed again: by copying what another candidate holds, or by
     * computing a shared prefix on a host where later requests do not look for it.
     */
    private CandidateCost withDuplication(
            RouteQuery query, CandidateCost offer, Optional<CandidateCost> fullest, boolean homeTakesMore) {
        long copied = fullest.map(
                        full -> query.tokensFrom(offer.pendingPieces()) - query.tokensFrom(full.pendingPieces()))
                .orElse(0L);
        long misplaced = offer.source() == Candidate.Source.SPARE && homeTakesMore
                ? query.tokensFrom(offer.pendingPieces()) - query.tokensFrom(query.sharedBlocks())
                : 0;
        long tokens = Math.max(0, Math.max(copied, misplaced));
        return new CandidateCost(
                offer.host(),
                offer.source(),
                offer.known(),
                offer.cachedPieces(),
                offer.pendingPieces(),
                offer.waitMicros(),
                offer.prefillMicros(),
                offer.distanceMicros(),
                costs.prefillMicros(tokens * costs.duplicationFactor()));
    }
}
