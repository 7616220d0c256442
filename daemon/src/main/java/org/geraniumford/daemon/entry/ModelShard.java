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
import org.geraniumford.core.routing.ConnectedEngines;
import org.geraniumford.core.routing.Hint;
import org.geraniumford.core.routing.HintCache;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.RefusalException;
import org.geraniumford.daemon.limits.RequestLimiter;
import org.geraniumford.transport.worker.WorkerHandler;

/** Runs the state machines of one shard of an entry's model requests. All state is confined to its worker's thread. */
final class ModelShard implements WorkerHandler<ShardEvent> {
    /**
     * The number of the worker's ticks for each tick of a running request. All other requests, which wait for probe
     * responses or for the start of an attempt, are ticked each time.
     */
    private static final int TICKS_PER_RUNNING_CHECK = 10;

    private final ShardDependencies dependencies;
    private final Map<String, ActiveRequest> activeRequests = new HashMap<>();
    private final PendingProbes probes;
    private final SplittableRandom random;
    private final ActionExecutor executor;
    private long ticks;
    private RetryBudget retryBudget = RetryBudget.start(System.nanoTime());

    /**
     * The components that all shards share.
     *
     * @param machine the state machine of requests
     * @param specFactory checks requests and creates their specifications
     * @param peers the connected processes
     * @param hints the hosts at which prefixes were last served
     * @param limiter admits requests within their customers' limits
     * @param metrics the entry's metrics
     * @param records the routing decisions and outcomes of requests
     */
    record ShardDependencies(
            RequestMachine machine,
            SpecFactory specFactory,
            PeerTable peers,
            HintCache hints,
            RequestLimiter limiter,
            EntryMetrics metrics,
            ExplainRecords records) {}

    private ModelShard(ShardDependencies dependencies, int index, int shardCount, long seed) {
        this.dependencies = dependencies;
        this.probes = PendingProbes.of(index, shardCount);
        this.random = new SplittableRandom(seed);
        this.executor = new ActionExecutor(dependencies, probes);
    }

    // -- construction

    static ModelShard of(ShardDependencies dependencies, int index, int shardCount, long seed) {
        return new ModelShard(dependencies, index, shardCount, seed);
    }

    // -- events

    @Override
    public void handle(ShardEvent event) {
        if (event instanceof ShardEvent.RequestReceived requestReceived) {
            accept(requestReceived.request());
        } else if (event instanceof ShardEvent.FrameReceived frame) {
            advanceRequest(frame.requestId(), new RequestEvent.FrameReceived(frame.host(), frame.message()));
        } else if (event instanceof ShardEvent.ProbeResponseReceived probeResponse) {
            probes.remove(probeResponse.response().id())
                    .ifPresent(requestId -> advanceRequest(
                            requestId,
                            new RequestEvent.ProbeResponseReceived(probeResponse.host(), probeResponse.response())));
        } else if (event instanceof ShardEvent.PongReceived pong) {
            advanceRequestsOn(pong.host(), new RequestEvent.PongReceived(pong.host()));
        } else if (event instanceof ShardEvent.HostLost hostLost) {
            advanceRequestsOn(hostLost.host(), new RequestEvent.HostLost(hostLost.host(), hostLost.broken()));
        } else if (event instanceof ShardEvent.CallerDisconnected disconnected) {
            advanceRequest(disconnected.requestId(), new RequestEvent.CallerDisconnected());
        } else if (event instanceof ShardEvent.CallerWritable writable) {
            advanceRequest(writable.requestId(), new RequestEvent.CallerWritable());
        }
    }

    @Override
    public void tick() {
        ticks++;
        boolean includeRunning = ticks % TICKS_PER_RUNNING_CHECK == 0;
        List.copyOf(activeRequests.values()).stream()
                .filter(request -> includeRunning || !(request.state().phase() instanceof Phase.Running))
                .forEach(this::tick);
        probes.expire(System.nanoTime());
    }

    @Override
    public boolean isIdle() {
        return activeRequests.isEmpty();
    }

    /**
     * Advances one request. Events may have been dropped because the ring buffer was full, so the conditions that they
     * report are checked first.
     */
    private void tick(ActiveRequest request) {
        if (request.response().exchange().isClosed()) {
            advance(request, new RequestEvent.CallerDisconnected());
        }
        if (request.state().blockedSinceNanos().isPresent()
                && request.response().exchange().isWritable()) {
            advance(request, new RequestEvent.CallerWritable());
        }
        if (request.isLinkClosed() && request.state().phase() instanceof Phase.Running running) {
            advance(request, new RequestEvent.HostLost(running.host(), false));
        }
        advance(request, new RequestEvent.Tick());
    }

    // -- requests

    private void accept(AuthenticatedRequest incoming) {
        try {
            CallerRequest body = CallerRequestReader.read(
                    incoming.format(), incoming.exchange().bodyText());
            incoming.exchange().discardBody();
            admit(incoming, body, dependencies.specFactory().create(incoming, body, random.nextLong()));
        } catch (RefusalException e) {
            refuse(incoming, e.refusal());
        }
    }

    private void refuse(AuthenticatedRequest incoming, Refusal refusal) {
        dependencies.metrics().recordRefusal(refusal.reason());
        new ErrorResponse(incoming.requestId(), refusal).sendTo(incoming.exchange());
    }

    private void admit(AuthenticatedRequest incoming, CallerRequest body, RequestSpec spec) {
        long estimatedTokens = spec.chain().tokens() + (long) spec.maxTokens();
        dependencies
                .limiter()
                .admit(incoming.customer(), estimatedTokens)
                .ifPresentOrElse(refusal -> refuse(incoming, refusal), () -> start(incoming, body, spec));
    }

    private void start(AuthenticatedRequest incoming, CallerRequest body, RequestSpec spec) {
        retryBudget = retryBudget.withRequest(System.nanoTime());
        ActiveRequest request = ActiveRequest.of(
                incoming.customer(),
                ResponseWriter.of(incoming.exchange(), incoming.format(), incoming.requestId(), body));
        activeRequests.put(spec.requestId(), request);
        apply(request, dependencies.machine().start(spec, context(spec)));
        dependencies.metrics().recordOverhead(System.nanoTime() - incoming.acceptedNanos());
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
        List<RequestEvent> followingEvents = step.actions().stream()
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
        followingEvents.forEach(event -> advance(request, event));
    }

    /** Returns the delivered tokens minus the response tokens that were estimated when the request was admitted. */
    private static long extraTokens(RequestState state) {
        return state.assembler().deliveredTokens() - (long) state.spec().maxTokens();
    }

    private RequestContext context(RequestSpec spec) {
        ConnectedEngines engines = dependencies.peers().connectedEngines();
        return context(engines, dependencies.hints().longestMatch(spec.chain().blocks(), engines));
    }

    /**
     * Returns the context of an event. A running attempt has its host already, so no hint is looked up for its frames.
     */
    private RequestContext context(ActiveRequest request) {
        return request.state().phase() instanceof Phase.Running
                ? context(dependencies.peers().connectedEngines(), Optional.empty())
                : context(request.state().spec());
    }

    private RequestContext context(ConnectedEngines engines, Optional<Hint> hint) {
        long nowNanos = System.nanoTime();
        return new RequestContext(nowNanos, engines, hint, retryBudget.isAvailable(nowNanos), random.nextDouble());
    }
}
