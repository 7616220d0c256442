package org.geraniumford.core.request;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.geraniumford.core.routing.Backend;
import org.geraniumford.core.routing.Candidate;
import org.geraniumford.core.routing.CandidateCost;
import org.geraniumford.core.routing.CandidateRanker;
import org.geraniumford.core.routing.Explanation;
import org.geraniumford.core.routing.RouteQuery;
import org.geraniumford.core.routing.RoutingCosts;
import org.geraniumford.core.routing.RoutingPolicy;
import org.geraniumford.core.wire.Message;

/** Finds a host for an attempt and sends it there. */
record AttemptStarter(RoutingPolicy policy, RoutingCosts costs, RequestLimits limits) {
    // -- transitions

    /** Starts the attempt, or returns nothing if no engine can take it. */
    Optional<RequestStep> startAttempt(RequestState state, RequestContext context) {
        RouteQuery query = query(state, context);
        List<Candidate> candidates = policy.candidates(query, servingBackends(query, context), costs);
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        if (!policy.shouldProbe(query, candidates)) {
            return submit(state, candidates, Set.of(), Map.of(), context);
        }
        Set<String> asked = candidates.stream()
                .filter(candidate -> candidate.source() != Candidate.Source.SPARE)
                .map(candidate -> candidate.backend().host())
                .collect(Collectors.toUnmodifiableSet());
        long due = context.nowNanos() + limits.probeTimeout().toNanos();
        List<RequestAction> probes = asked.stream()
                .sorted()
                .map(host -> (RequestAction) new RequestAction.Probe(host))
                .toList();
        return Optional.of(
                new RequestStep(state.withPhase(new Phase.Probing(candidates, asked, Map.of(), due)), probes));
    }

    /** Takes in an answer; starts the attempt if it was the last one. */
    Optional<RequestStep> handleProbeResponse(
            RequestState state,
            Phase.Probing probing,
            RequestEvent.ProbeResponseReceived event,
            RequestContext context) {
        if (!probing.probedHosts().contains(event.host())) {
            return Optional.of(RequestStep.of(state));
        }
        Map<String, Message.ProbeResponse> answers = new HashMap<>(probing.responses());
        answers.put(event.host(), event.response());
        Phase.Probing next =
                new Phase.Probing(probing.candidates(), probing.probedHosts(), answers, probing.deadlineNanos());
        return answers.size() == probing.probedHosts().size()
                ? submit(state, next.candidates(), next.probedHosts(), answers, context)
                : Optional.of(RequestStep.of(state.withPhase(next)));
    }

    /** Starts the attempt with the answers that came. */
    Optional<RequestStep> handleProbeTimeout(RequestState state, Phase.Probing probing, RequestContext context) {
        List<RequestAction> lost = probing.probedHosts().stream()
                .filter(host -> !probing.responses().containsKey(host))
                .sorted()
                .map(host -> (RequestAction) new RequestAction.CountLostProbe(host))
                .toList();
        return submit(state, probing.candidates(), probing.probedHosts(), probing.responses(), context)
                .map(step -> new RequestStep(state, lost).then(ignored -> step));
    }

    private Optional<RequestStep> submit(
            RequestState state,
            List<Candidate> candidates,
            Set<String> asked,
            Map<String, Message.ProbeResponse> answers,
            RequestContext context) {
        RouteQuery query = query(state, context);
        Map<String, Backend> present = servingBackends(query, context).stream()
                .collect(Collectors.toUnmodifiableMap(Backend::host, Function.identity()));
        List<Candidate> available = candidates.stream()
                .filter(candidate -> present.containsKey(candidate.backend().host()))
                .toList();
        List<CandidateCost> offers = new CandidateRanker(costs).rank(query, available, answers, asked);
        return offers.stream()
                .findFirst()
                .map(offer -> submitTo(state, present.get(offer.host()), offers, answers, context));
    }

    private RequestStep submitTo(
            RequestState state,
            Backend backend,
            List<CandidateCost> offers,
            Map<String, Message.ProbeResponse> answers,
            RequestContext context) {
        String host = backend.host();
        int delivered = state.assembler().deliveredTokens();
        long now = context.nowNanos();
        long incarnation = Optional.ofNullable(answers.get(host))
                .map(Message.ProbeResponse::backendIncarnation)
                .orElse(backend.incarnation());
        Message.Submit submit = state.spec()
                .submitMessage(
                        state.assembler().attemptId(),
                        incarnation,
                        remainingNanos(state, now),
                        delivered,
                        limits.windowTokens());
        Explanation explanation = new Explanation(
                state.attemptNumber(), policy, state.spec().chain().size(), delivered, offers, host);
        return RequestStep.of(
                state.withPhase(Phase.Running.start(host, delivered + limits.windowTokens(), now)),
                new RequestAction.Explain(explanation),
                new RequestAction.Submit(host, submit));
    }

    /** The first token of a resumed answer gets as long as the first token of a new one. */
    private static long remainingNanos(RequestState state, long now) {
        long whole = state.spec().priorityClass().firstTokenDeadline().toNanos();
        return state.assembler().deliveredTokens() > 0
                ? whole
                : Math.max(0, state.spec().deadlineNanos() - now);
    }

    // -- queries

    private static RouteQuery query(RequestState state, RequestContext context) {
        return state.spec().routeQuery(context.hint(), state.avoidedHosts());
    }

    /** Hosts that failed an attempt come back only if no other is left. */
    private static List<Backend> servingBackends(RouteQuery query, RequestContext context) {
        List<Backend> all = context.fleet().serving(query.modelVersion(), query.weightsDigest());
        List<Backend> others = all.stream()
                .filter(backend -> !query.avoidedHosts().contains(backend.host()))
                .toList();
        return others.isEmpty() ? all : others;
    }
}
