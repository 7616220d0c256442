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
import org.geraniumford.daemon.limits.RequestLimiter;
import org.geraniumford.transport.worker.WorkerHandler;

/** Drives the state machines of a part of an entry's model requests. All state belongs to its duty's thread. */
final class ModelShard implements WorkerHandler<ShardEvent> {
    private static final int TICKS_PER_RUNNING_CHECK = 10;

    private final ShardDependencies dependencies;
    private final Map<String, ActiveRequest> activeRequests = new HashMap<>();
    private final PendingProbes probes;
    private final SplittableRandom random;
    private final ActionExecutor executor;
    private long ticks;
    private RetryBudget retryBudget = RetryBudget.start(System.nanoTime());

    /**
     * What the shards share.
     *
     * @param machine the decisions
     * @param specFactory reads requests
     * @param peers the connected processes
     * @param hints where prefixes were last served
     * @param limiter admits requests within their customers' limits
     * @param metrics what is measured
     * @param records why requests went where they went
     */
    record ShardDependencies(
            RequestMachine machine,
            SpecFactory specFactory,
            PeerTable peers,
            HintCache hints,
            RequestLimiter limiter,
            EntryMetrics metrics,
            ExplainRecords records) {}

    private ModelShard(ShardDependencies parts, int index, int shards, long seed) {
        this.dependencies = parts;
        this.probes = PendingProbes.of(index, shards);
        this.random = new SplittableRandom(seed);
        this.executor = new ActionExecutor(parts, probes);
    }

    // -- construction

    static ModelShard of(ShardDependencies parts, int index, int shards, long seed) {
        return new ModelShard(parts, index, shards, seed);
    }

    // -- events

    @Override
    public void handle(ShardEvent event) {
        if (event instanceof ShardEvent.RequestReceived arrived) {
            accept(arrived.request());
        } else if (event instanceof ShardEvent.FrameReceived frame) {
            advanceRequest(frame.requestId(), new RequestEvent.MessageReceived(frame.host(), frame.message()));
        } else if (event instanceof ShardEvent.ProbeResponseReceived answered) {
            probes.remove(answered.response().id())
                    .ifPresent(requestId -> advanceRequest(
                            requestId, new RequestEvent.ProbeResponseReceived(answered.host(), answered.response())));
        } else if (event instanceof ShardEvent.PongReceived heard) {
            advanceRequestsOn(heard.host(), new RequestEvent.PongReceived(heard.host()));
        } else if (event instanceof ShardEvent.HostLost lost) {
            advanceRequestsOn(lost.host(), new RequestEvent.HostLost(lost.host(), lost.broken()));
        } else if (event instanceof ShardEvent.CallerDisconnected gone) {
            advanceRequest(gone.requestId(), new RequestEvent.CallerDisconnected());
        } else if (event instanceof ShardEvent.CallerWritable ready) {
            advanceRequest(ready.requestId(), new RequestEvent.CallerReady());
        }
    }

    @Override
    public void tick() {
        ticks++;
        boolean watch = ticks % TICKS_PER_RUNNING_CHECK == 0;
        List.copyOf(activeRequests.values()).stream()
                .filter(request -> watch || !(request.state().phase() instanceof Phase.Running))
                .forEach(this::tick);
        probes.expire(System.nanoTime());
    }

    @Override
    public boolean isIdle() {
        return activeRequests.isEmpty();
    }

    /** Also makes up for events that a full ring refused. */
    private void tick(ActiveRequest request) {
        if (request.response().exchange().isClosed()) {
            advance(request, new RequestEvent.CallerDisconnected());
        }
        if (request.state().blockedSinceNanos().isPresent()
                && request.response().exchange().isWritable()) {
            advance(request, new RequestEvent.CallerReady());
        }
        if (request.isLinkClosed() && request.state().phase() instanceof Phase.Running run) {
            advance(request, new RequestEvent.HostLost(run.host(), false));
        }
        advance(request, new RequestEvent.Tick());
    }

    // -- requests

    private void accept(AuthenticatedRequest arrival) {
        try {
            CallerRequest body = CallerRequestReader.read(
                    arrival.format(), arrival.exchange().bodyText());
            arrival.exchange().discardBody();
            admit(arrival, body, dependencies.specFactory().create(arrival, body, random.nextLong()));
        } catch (RefusalException e) {
            refuse(arrival, e.refusal());
        }
    }

    private void refuse(AuthenticatedRequest arrival, Refusal refusal) {
        dependencies.metrics().recordRefusal(refusal.reason());
        new ErrorResponse(arrival.requestId(), refusal).sendTo(arrival.exchange());
    }

    private void admit(AuthenticatedRequest arrival, CallerRequest body, RequestSpec spec) {
        long tokens = spec.chain().tokens() + (long) spec.maxTokens();
        dependencies
                .limiter()
                .admit(arrival.customer(), tokens)
                .ifPresentOrElse(refusal -> refuse(arrival, refusal), () -> start(arrival, body, spec));
    }

    private void start(AuthenticatedRequest arrival, CallerRequest body, RequestSpec spec) {
        retryBudget = retryBudget.withRequest(System.nanoTime());
        ActiveRequest request = ActiveRequest.of(
                arrival.customer(), ResponseWriter.of(arrival.exchange(), arrival.format(), arrival.requestId(), body));
        activeRequests.put(spec.requestId(), request);
        apply(request, dependencies.machine().start(spec, context(spec)));
        dependencies.metrics().recordOverhead(System.nanoTime() - arrival.acceptedNanos());
    }

    private void advanceRequest(String requestId, RequestEvent event) {
        Optional.ofNullable(activeRequests.get(requestId)).ifPresent(request -> advance(request, event));
    }

    private void advanceRequestsOn(String host, RequestEvent event) {
        List.copyOf(activeRequests.values()).stream()
                .filter(request -> request.state().isRunningOn(host))
                .forEach(request -> advance(request, event));
    }

    private void advance(ActiveRequest request, RequestEvent event) {
        if (!request.state().isDone()) {
            apply(request, dependencies.machine().step(request.state(), event, context(request)));
        }
    }

    private void apply(ActiveRequest request, RequestStep step) {
        request.transitionTo(step.state());
        List<RequestEvent> following = step.actions().stream()
                .flatMap(action -> executor.execute(request, action).stream())
                .toList();
        long retries = step.actions().stream().filter(ActionExecutor::isRetry).count();
        for (long spent = 0; spent < retries; spent++) {
            retryBudget = retryBudget.spend(System.nanoTime());
        }
        if (step.state().isDone()) {
            activeRequests.remove(step.state().spec().requestId());
            dependencies.limiter().release(request.customer(), extraTokens(step.state()));
        }
        following.forEach(event -> advance(request, event));
    }

    private static long extraTokens(RequestState state) {
        return state.assembler().deliveredTokens() - (long) state.spec().maxTokens();
    }

    private RequestContext context(RequestSpec spec) {
        Fleet fleet = dependencies.peers().fleet();
        return context(fleet, dependencies.hints().longestMatch(spec.chain().blocks(), fleet));
    }

    /** A running attempt has its host already, so the hint is not looked up for each of its frames. */
    private RequestContext context(ActiveRequest request) {
        return request.state().phase() instanceof Phase.Running
                ? context(dependencies.peers().fleet(), Optional.empty())
                : context(request.state().spec());
    }

    private RequestContext context(Fleet fleet, Optional<Hint> hint) {
        long now = System.nanoTime();
        return new RequestContext(now, fleet, hint, retryBudget.isAvailable(now), random.nextDouble());
    }
}
