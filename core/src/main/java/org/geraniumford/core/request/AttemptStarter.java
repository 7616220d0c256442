package org.geraniumford.core.request;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.geraniumford.core.routing.Candidate;
import org.geraniumford.core.routing.CandidateCost;
import org.geraniumford.core.routing.CandidateRanker;
import org.geraniumford.core.routing.ConnectedEngine;
import org.geraniumford.core.routing.Explanation;
import org.geraniumford.core.routing.RouteQuery;
import org.geraniumford.core.routing.RoutingCosts;
import org.geraniumford.core.routing.RoutingPolicy;
import org.geraniumford.core.wire.Message;

/** Starts an attempt: probes the candidates if the policy requires it, chooses a host, and submits the attempt. */
record AttemptStarter(RoutingPolicy policy, RoutingCosts costs, RequestLimits limits) {
    // -- transitions

    /** Starts the attempt, or returns empty if no engine can serve it. */
    Optional<RequestStep> startAttempt(RequestState state, RequestContext context) {
        RouteQuery query = query(state, context);
        List<Candidate> candidates = policy.candidates(query, servingEngines(query, context), costs);
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        if (!policy.shouldProbe(query, candidates)) {
            return submit(state, candidates, Set.of(), Map.of(), context);
        }
        Set<String> probedHosts = candidates.stream()
                .filter(candidate -> candidate.source() != Candidate.Source.SPARE)
                .map(candidate -> candidate.engine().host())
                .collect(Collectors.toUnmodifiableSet());
        long probeDeadlineNanos = context.nowNanos() + limits.probeTimeout().toNanos();
        List<RequestAction> probes = probedHosts.stream()
                .sorted()
                .map(host -> (RequestAction) new RequestAction.Probe(host))
                .toList();
        return Optional.of(new RequestStep(
                state.withPhase(new Phase.Probing(candidates, probedHosts, Map.of(), probeDeadlineNanos)), probes));
    }

    /**
     * Records a probe response, and submits the attempt if no other response is outstanding. Returns empty if no
     * candidate serves any more.
     */
    Optional<RequestStep> handleProbeResponse(
            RequestState state,
            Phase.Probing probing,
            RequestEvent.ProbeResponseReceived event,
            RequestContext context) {
        if (!probing.probedHosts().contains(event.host())) {
            return Optional.of(RequestStep.of(state));
        }
        Map<String, Message.ProbeResponse> responses = new HashMap<>(probing.responses());
        responses.put(event.host(), event.response());
        Phase.Probing updated =
                new Phase.Probing(probing.candidates(), probing.probedHosts(), responses, probing.deadlineNanos());
        return responses.size() == probing.probedHosts().size()
                ? submit(state, updated.candidates(), updated.probedHosts(), responses, context)
                : Optional.of(RequestStep.of(state.withPhase(updated)));
    }

    /**
     * Submits the attempt with the probe responses that arrived in time, and counts the others as lost. Returns empty
     * if no candidate serves any more.
     */
    Optional<RequestStep> handleProbeTimeout(RequestState state, Phase.Probing probing, RequestContext context) {
        List<RequestAction> lostProbes = probing.probedHosts().stream()
                .filter(host -> !probing.responses().containsKey(host))
                .sorted()
                .map(host -> (RequestAction) new RequestAction.CountLostProbe(host))
                .toList();
        return submit(state, probing.candidates(), probing.probedHosts(), probing.responses(), context)
                .map(step -> new RequestStep(state, lostProbes).then(ignored -> step));
    }

    /**
     * Submits the attempt to the candidate with the lowest cost among those that still serve. Returns empty if none
     * does.
     */
    private Optional<RequestStep> submit(
            RequestState state,
            List<Candidate> candidates,
            Set<String> probedHosts,
            Map<String, Message.ProbeResponse> responses,
            RequestContext context) {
        RouteQuery query = query(state, context);
        Map<String, ConnectedEngine> servingByHost = servingEngines(query, context).stream()
                .collect(Collectors.toUnmodifiableMap(ConnectedEngine::host, Function.identity()));
        List<Candidate> available = candidates.stream()
                .filter(candidate ->
                        servingByHost.containsKey(candidate.engine().host()))
                .toList();
        List<CandidateCost> rankedCosts = new CandidateRanker(costs).rank(query, available, responses, probedHosts);
        return rankedCosts.stream()
                .findFirst()
                .map(cheapest -> submitTo(state, servingByHost.get(cheapest.host()), rankedCosts, responses, context));
    }

    private RequestStep submitTo(
            RequestState state,
            ConnectedEngine engine,
            List<CandidateCost> rankedCosts,
            Map<String, Message.ProbeResponse> responses,
            RequestContext context) {
        String host = engine.host();
        int deliveredTokens = state.assembler().deliveredTokens();
        long nowNanos = context.nowNanos();
        long incarnation = Optional.ofNullable(responses.get(host))
                .map(Message.ProbeResponse::backendIncarnation)
                .orElse(engine.incarnation());
        Message.Submit submit = state.spec()
                .submitMessage(
                        state.assembler().attemptId(),
                        incarnation,
                        remainingNanos(state, nowNanos),
                        deliveredTokens,
                        limits.windowTokens());
        Explanation explanation = new Explanation(
                state.attemptNumber(), policy, state.spec().chain().size(), deliveredTokens, rankedCosts, host);
        return RequestStep.of(
                state.withPhase(Phase.Running.start(host, deliveredTokens + limits.windowTokens(), nowNanos)),
                new RequestAction.Explain(explanation),
                new RequestAction.Submit(host, submit));
    }

    /** Returns the time until the first token is due; a resumed response gets the full time of a new request. */
    private static long remainingNanos(RequestState state, long nowNanos) {
        long fullNanos = state.spec().priorityClass().firstTokenDeadline().toNanos();
        return state.assembler().deliveredTokens() > 0
                ? fullNanos
                : Math.max(0, state.spec().deadlineNanos() - nowNanos);
    }

    // -- queries

    private static RouteQuery query(RequestState state, RequestContext context) {
        return state.spec().routeQuery(context.hint(), state.avoidedHosts());
    }

    /** Returns the serving engines whose hosts failed no attempt; if every host failed one, returns all of them. */
    private static List<ConnectedEngine> servingEngines(RouteQuery query, RequestContext context) {
        List<ConnectedEngine> serving = context.engines().serving(query.modelVersion(), query.weightsDigest());
        List<ConnectedEngine> notAvoided = serving.stream()
                .filter(engine -> !query.avoidedHosts().contains(engine.host()))
                .toList();
        return notAvoided.isEmpty() ? serving : notAvoided;
    }
}
