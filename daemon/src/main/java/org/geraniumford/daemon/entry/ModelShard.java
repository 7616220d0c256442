package org.geraniumford.daemon.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.geraniumford.core.request.Phase;
import org.geraniumford.core.request.RequestContext;
import org.geraniumford.core.request.RequestEvent;
import org.geraniumford.core.request.RequestMachine;
import org.geraniumford.core.request.RequestSpec;
import org.geraniumford.core.request.RequestState;
import org.geraniumford.core.request.RequestStep;
import org.geraniumford.core.retry.RetryBudget;
import org.geraniumford.core.routing.Fleet;
import org.geraniumford.core.routing.Hint;
import org.geraniumford.core.routing.HintCache;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.RefusalException;
import org.geraniumford.daemon.limits.CustomerGate;
import org.geraniumford.transport.duty.DutyHandler;

/** Drives the state machines of a part of an entry's model requests. All state belongs to its duty's thread. */
final class ModelShard implements DutyHandler<ShardEvent> {
    private static final int TICKS_PER_WATCH = 10;

    private final ShardParts parts;
    private final Map<String, ActiveRequest> active = new HashMap<>();
    private final ProbeTable probes;
    private final SplittableRandom random;
    private final ActionRunner runner;
    private long ticks;
    private RetryBudget budget = RetryBudget.start(System.nanoTime());

    /**
     * What the shards share.
     *
     * @param machine the decisions
     * @param specs reads requests
     * @param peers the connected processes
     * @param hints where prefixes were last served
     * @param gate admits requests within their customers' limits
     * @param metrics what is measured
     * @param records why requests went where they went
     */
    record ShardParts(
            RequestMachine machine,
            SpecFactory specs,
            PeerTable peers,
            HintCache hints,
            CustomerGate gate,
            EntryMetrics metrics,
            ExplainRecords records) {}

    private ModelShard(ShardParts parts, int index, int shards, long seed) {
        this.parts = parts;
        this.probes = ProbeTable.of(index, shards);
        this.random = new SplittableRandom(seed);
        this.runner = new ActionRunner(parts, probes);
    }

    // -- construction

    static ModelShard of(ShardParts parts, int index, int shards, long seed) {
        return new ModelShard(parts, index, shards, seed);
    }

    // -- events

    @Override
    public void handle(ShardEvent event) {
        if (event instanceof ShardEvent.Arrived arrived) {
            arrived(arrived.arrival());
        } else if (event instanceof ShardEvent.Frame frame) {
            onRequest(frame.requestId(), new RequestEvent.Received(frame.host(), frame.message()));
        } else if (event instanceof ShardEvent.ProbeAnswered answered) {
            probes.take(answered.answer().id())
                    .ifPresent(requestId ->
                            onRequest(requestId, new RequestEvent.ProbeAnswered(answered.host(), answered.answer())));
        } else if (event instanceof ShardEvent.Heard heard) {
            onHost(heard.host(), new RequestEvent.Heard(heard.host()));
        } else if (event instanceof ShardEvent.HostLost lost) {
            onHost(lost.host(), new RequestEvent.HostLost(lost.host(), lost.broken()));
        } else if (event instanceof ShardEvent.CallerGone gone) {
            onRequest(gone.requestId(), new RequestEvent.CallerGone());
        } else if (event instanceof ShardEvent.CallerReady ready) {
            onRequest(ready.requestId(), new RequestEvent.CallerReady());
        }
    }

    @Override
    public void tick() {
        ticks++;
        boolean watch = ticks % TICKS_PER_WATCH == 0;
        List.copyOf(active.values()).stream()
                .filter(request -> watch || !(request.state().phase() instanceof Phase.Running))
                .forEach(this::tick);
        probes.expire(System.nanoTime());
    }

    @Override
    public boolean idle() {
        return active.isEmpty();
    }

    /** Also makes up for events that a full ring refused. */
    private void tick(ActiveRequest request) {
        if (request.answer().exchange().closed()) {
            advance(request, new RequestEvent.CallerGone());
        }
        if (request.state().blockedNanos().isPresent()
                && request.answer().exchange().writable()) {
            advance(request, new RequestEvent.CallerReady());
        }
        if (request.linkEnded() && request.state().phase() instanceof Phase.Running run) {
            advance(request, new RequestEvent.HostLost(run.host(), false));
        }
        advance(request, new RequestEvent.Tick());
    }

    // -- requests

    private void arrived(Arrival arrival) {
        try {
            CallerRequest body = CallerRequestReader.read(
                    arrival.format(), arrival.exchange().bodyText());
            arrival.exchange().discardBody();
            admit(arrival, body, parts.specs().spec(arrival, body, random.nextLong()));
        } catch (RefusalException e) {
            refuse(arrival, e.refusal());
        }
    }

    private void refuse(Arrival arrival, Refusal refusal) {
        parts.metrics().refused(refusal.reason());
        new ErrorAnswer(arrival.requestId(), refusal).sendTo(arrival.exchange());
    }

    private void admit(Arrival arrival, CallerRequest body, RequestSpec spec) {
        long tokens = spec.chain().tokens() + (long) spec.maxTokens();
        parts.gate()
                .admit(arrival.customer(), tokens)
                .ifPresentOrElse(refusal -> refuse(arrival, refusal), () -> start(arrival, body, spec));
    }

    private void start(Arrival arrival, CallerRequest body, RequestSpec spec) {
        budget = budget.request(System.nanoTime());
        ActiveRequest request = ActiveRequest.of(
                arrival.customer(), Answer.of(arrival.exchange(), arrival.format(), arrival.requestId(), body));
        active.put(spec.requestId(), request);
        run(request, parts.machine().start(spec, context(spec)));
        parts.metrics().accepted(System.nanoTime() - arrival.acceptedNanos());
    }

    private void onRequest(String requestId, RequestEvent event) {
        Optional.ofNullable(active.get(requestId)).ifPresent(request -> advance(request, event));
    }

    private void onHost(String host, RequestEvent event) {
        List.copyOf(active.values()).stream()
                .filter(request -> request.state().runsOn(host))
                .forEach(request -> advance(request, event));
    }

    private void advance(ActiveRequest request, RequestEvent event) {
        if (!request.state().done()) {
            run(request, parts.machine().step(request.state(), event, context(request)));
        }
    }

    private void run(ActiveRequest request, RequestStep step) {
        request.moveTo(step.state());
        List<RequestEvent> following = step.actions().stream()
                .flatMap(action -> runner.run(request, action).stream())
                .toList();
        long retries = step.actions().stream().filter(ActionRunner::spendsRetry).count();
        for (long spent = 0; spent < retries; spent++) {
            budget = budget.spend(System.nanoTime());
        }
        if (step.state().done()) {
            active.remove(step.state().spec().requestId());
            parts.gate().finished(request.customer(), unusedTokens(step.state()));
        }
        following.forEach(event -> advance(request, event));
    }

    private static long unusedTokens(RequestState state) {
        return state.assembler().delivered() - (long) state.spec().maxTokens();
    }

    private RequestContext context(RequestSpec spec) {
        Fleet fleet = parts.peers().fleet();
        return context(fleet, parts.hints().longest(spec.chain().pieces(), fleet));
    }

    /** A running attempt has its host already, so the hint is not looked up for each of its frames. */
    private RequestContext context(ActiveRequest request) {
        return request.state().phase() instanceof Phase.Running
                ? context(parts.peers().fleet(), Optional.empty())
                : context(request.state().spec());
    }

    private RequestContext context(Fleet fleet, Optional<Hint> hint) {
        long now = System.nanoTime();
        return new RequestContext(now, fleet, hint, budget.available(now), random.nextDouble());
    }
}
