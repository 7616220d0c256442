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
import org.geraniumford.core.routing.Chooser;
import org.geraniumford.core.routing.CostModel;
import org.geraniumford.core.routing.Explanation;
import org.geraniumford.core.routing.Offer;
import org.geraniumford.core.routing.RouteQuery;
import org.geraniumford.core.routing.RoutingPolicy;
import org.geraniumford.core.wire.Message;

/** Finds a host for an attempt and sends it there. */
record AttemptStarter(RoutingPolicy policy, CostModel costs, RequestLimits limits) {
    // -- transitions

    /** Starts the attempt, or returns nothing if no engine can take it. */
    Optional<RequestStep> begin(RequestState state, RequestContext context) {
        RouteQuery query = query(state, context);
        List<Candidate> candidates = policy.candidates(query, serving(query, context), costs);
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        if (!policy.probes(query, candidates)) {
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
        return Optional.of(new RequestStep(state.in(new Phase.Probing(candidates, asked, Map.of(), due)), probes));
    }

    /** Takes in an answer; starts the attempt if it was the last one. */
    Optional<RequestStep> answered(
            RequestState state, Phase.Probing probing, RequestEvent.ProbeAnswered event, RequestContext context) {
        if (!probing.asked().contains(event.host())) {
            return Optional.of(RequestStep.of(state));
        }
        Map<String, Message.ProbeAnswer> answers = new HashMap<>(probing.answers());
        answers.put(event.host(), event.answer());
        Phase.Probing next = new Phase.Probing(probing.candidates(), probing.asked(), answers, probing.dueNanos());
        return answers.size() == probing.asked().size()
                ? submit(state, next.candidates(), next.asked(), answers, context)
                : Optional.of(RequestStep.of(state.in(next)));
    }

    /** Starts the attempt with the answers that came. */
    Optional<RequestStep> probesDue(RequestState state, Phase.Probing probing, RequestContext context) {
        List<RequestAction> lost = probing.asked().stream()
                .filter(host -> !probing.answers().containsKey(host))
                .sorted()
                .map(host -> (RequestAction) new RequestAction.ProbeLost(host))
                .toList();
        return submit(state, probing.candidates(), probing.asked(), probing.answers(), context)
                .map(step -> new RequestStep(state, lost).then(ignored -> step));
    }

    private Optional<RequestStep> submit(
            RequestState state,
            List<Candidate> candidates,
            Set<String> asked,
            Map<String, Message.ProbeAnswer> answers,
            RequestContext context) {
        RouteQuery query = query(state, context);
        Map<String, Backend> present = serving(query, context).stream()
                .collect(Collectors.toUnmodifiableMap(Backend::host, Function.identity()));
        List<Candidate> available = candidates.stream()
                .filter(candidate -> present.containsKey(candidate.backend().host()))
                .toList();
        List<Offer> offers = new Chooser(costs).offers(query, available, answers, asked);
        return offers.stream()
                .findFirst()
                .map(offer -> submitTo(state, present.get(offer.host()), offers, answers, context));
    }

    private RequestStep submitTo(
            RequestState state,
            Backend backend,
            List<Offer> offers,
            Map<String, Message.ProbeAnswer> answers,
            RequestContext context) {
        String host = backend.host();
        int delivered = state.assembler().delivered();
        long now = context.nowNanos();
        long incarnation = Optional.ofNullable(answers.get(host))
                .map(Message.ProbeAnswer::backendIncarnation)
                .orElse(backend.incarnation());
        Message.Submit submit = state.spec()
                .submit(state.assembler().attempt(), incarnation, timeLeft(state, now), delivered, limits.window());
        Explanation explanation =
                new Explanation(state.attempt(), policy, state.spec().chain().size(), delivered, offers, host);
        return RequestStep.of(
                state.in(Phase.Running.start(host, delivered + limits.window(), now)),
                new RequestAction.Explain(explanation),
                new RequestAction.Submit(host, submit));
    }

    /** The first token of a resumed answer gets as long as the first token of a new one. */
    private static long timeLeft(RequestState state, long now) {
        long whole = state.spec().priorityClass().firstTokenDeadline().toNanos();
        return state.assembler().delivered() > 0
                ? whole
                : Math.max(0, state.spec().deadlineNanos() - now);
    }

    // -- queries

    private static RouteQuery query(RequestState state, RequestContext context) {
        return state.spec().query(context.hint(), state.avoided());
    }

    /** Hosts that failed an attempt come back only if no other is left. */
    private static List<Backend> serving(RouteQuery query, RequestContext context) {
        List<Backend> all = context.fleet().serving(query.modelVersion(), query.weightsDigest());
        List<Backend> others = all.stream()
                .filter(backend -> !query.avoided().contains(backend.host()))
                .toList();
        return others.isEmpty() ? all : others;
    }
}
