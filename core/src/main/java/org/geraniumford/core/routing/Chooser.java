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
public record Chooser(CostModel costs) {
    /** Checks the component. */
    public Chooser {
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
    public List<Offer> offers(
            RouteQuery query, List<Candidate> candidates, Map<String, Message.ProbeAnswer> answers, Set<String> asked) {
        List<Offer> plain = candidates.stream()
                .filter(candidate -> stays(answers.get(candidate.backend().host())))
                .map(candidate -> plainOffer(query, candidate, answers, asked))
                .toList();
        Optional<Offer> fullest = plain.stream()
                .filter(offer -> !costs.saturated(offer.waitMicros()))
                .max(Comparator.comparingInt(Offer::pendingPieces));
        boolean homeTakesMore = plain.stream()
                .anyMatch(offer -> offer.source() == Candidate.Source.PREFIX && !costs.saturated(offer.waitMicros()));
        return plain.stream()
                .map(offer -> withDuplication(query, offer, fullest, homeTakesMore))
                .sorted(Comparator.comparingLong(Offer::costMicros))
                .toList();
    }

    private static boolean stays(Message.ProbeAnswer answer) {
        return answer == null || (!answer.leaving() && answer.backendIncarnation() != 0);
    }

    private Offer plainOffer(
            RouteQuery query, Candidate candidate, Map<String, Message.ProbeAnswer> answers, Set<String> asked) {
        Backend backend = candidate.backend();
        Optional<Message.ProbeAnswer> answer = Optional.ofNullable(answers.get(backend.host()));
        int hinted = query.hint()
                .filter(hint -> hint.host().equals(backend.host()))
                .map(Hint::pieces)
                .orElse(0);
        int cached = clamp(query, answer.map(Message.ProbeAnswer::cachedPieces).orElse(hinted));
        int pending = clamp(
                query,
                Math.max(cached, answer.map(Message.ProbeAnswer::pendingPieces).orElse(cached)));
        long wait = answer.map(Message.ProbeAnswer::estimatedWaitMicros).orElse(backend.waitMicros());
        Offer.Known unanswered = asked.contains(backend.host()) ? Offer.Known.LOST : Offer.Known.NOT_ASKED;
        return new Offer(
                backend.host(),
                candidate.source(),
                answer.isPresent() ? Offer.Known.ANSWERED : unanswered,
                cached,
                pending,
                wait,
                prefillMicros(query, cached, pending),
                backend.failureDomain().equals(query.failureDomain()) ? 0 : costs.crossDomainMicros(),
                0);
    }

    private static int clamp(RouteQuery query, int pieces) {
        return Math.max(0, Math.min(pieces, query.pieces().size()));
    }

    private long prefillMicros(RouteQuery query, int cached, int pending) {
        long missed = query.tokensFrom(pending);
        long computedByOthers = query.tokensFrom(cached) - missed;
        return costs.prefillMicros(missed + computedByOthers * costs.pendingShare());
    }

    /**
     * Adds the penalty for tokens that would be computed again: by copying what another candidate holds, or by
     * computing a shared prefix on a host where later requests do not look for it.
     */
    private Offer withDuplication(RouteQuery query, Offer offer, Optional<Offer> fullest, boolean homeTakesMore) {
        long copied = fullest.map(
                        full -> query.tokensFrom(offer.pendingPieces()) - query.tokensFrom(full.pendingPieces()))
                .orElse(0L);
        long misplaced = offer.source() == Candidate.Source.SPARE && homeTakesMore
                ? query.tokensFrom(offer.pendingPieces()) - query.tokensFrom(query.sharedPieces())
                : 0;
        long tokens = Math.max(0, Math.max(copied, misplaced));
        return new Offer(
                offer.host(),
                offer.source(),
                offer.known(),
                offer.cachedPieces(),
                offer.pendingPieces(),
                offer.waitMicros(),
                offer.prefillMicros(),
                offer.distanceMicros(),
                costs.prefillMicros(tokens * costs.duplicationShare()));
    }
}
