package org.geraniumford.core.request;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.geraniumford.core.configuration.PriorityClass;
import org.geraniumford.core.prefix.CacheScope;
import org.geraniumford.core.prefix.PrefixChain;
import org.geraniumford.core.retry.RetryPolicy;
import org.geraniumford.core.routing.ConnectedEngine;
import org.geraniumford.core.routing.ConnectedEngines;
import org.geraniumford.core.routing.RoutingCosts;
import org.geraniumford.core.routing.RoutingPolicy;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.Message;

/** Simulates one request on four hosts and a virtual clock, with given faults in some of the attempts. */
final class FaultSimulation {
    static final int OUTPUT_TOKENS = 40;

    private static final int HOSTS = 4;
    private static final int WINDOW_TOKENS = 16;
    private static final long TICK_NANOS = Duration.ofMillis(100).toNanos();
    private static final int MAX_STEPS = 20_000;
    private static final RequestLimits LIMITS = new RequestLimits(
            Duration.ofMillis(20),
            Duration.ofMillis(500),
            Duration.ofSeconds(1),
            Duration.ofSeconds(30),
            Duration.ofSeconds(30),
            WINDOW_TOKENS);

    private final RequestMachine machine =
            RequestMachine.of(RoutingPolicy.PROBE, RoutingCosts.ofDefaults(), RetryPolicy.ofDefaults(), LIMITS);
    private final Map<Integer, FaultCase> faultsByAttempt;
    private final boolean retryAvailable;
    private final SplittableRandom random;
    private final Deque<RequestEvent> pendingEvents = new ArrayDeque<>();
    private final Deque<RequestEvent> delayedEvents = new ArrayDeque<>();
    private final Set<String> unavailableHosts = new HashSet<>();
    private final Set<String> frozenHosts = new HashSet<>();
    final List<String> delivered = new ArrayList<>();
    final List<RequestAction> terminalActions = new ArrayList<>();
    final List<RequestAction> actions = new ArrayList<>();
    private RequestState state;
    private long nowNanos;
    /** Whether an attempt reached an engine, so that the request may have run. */
    boolean forwardedToEngine;

    /** A fault, and the step of an attempt at which it occurs. */
    record FaultCase(AttemptStep step, Fault fault) {}

    FaultSimulation(Map<Integer, FaultCase> faultsByAttempt, boolean retryAvailable, long seed) {
        this.faultsByAttempt = faultsByAttempt;
        this.retryAvailable = retryAvailable;
        this.random = new SplittableRandom(seed);
    }

    // -- running

    /**
     * Runs the request to its end, but for at most {@link #MAX_STEPS} events, and then handles the events that are
     * left.
     */
    void run() {
        apply(machine.start(spec(), context()));
        int steps = 0;
        while (!state.isDone() && steps < MAX_STEPS) {
            steps++;
            send(nextEvent());
        }
        Stream.concat(pendingEvents.stream(), delayedEvents.stream()).toList().forEach(this::send);
    }

    void runUntilStarted() {
        apply(machine.start(spec(), context()));
        while (!(state.phase() instanceof Phase.Running running && running.started())) {
            send(nextEvent());
        }
    }

    void send(RequestEvent event) {
        apply(machine.step(state, event, context()));
    }

    RequestState state() {
        return state;
    }

    /**
     * Returns whether tokens of an attempt were delivered before its engine confirmed that it serves the right weights.
     */
    boolean deliveredBeforeWeightsConfirmed() {
        boolean confirmed = false;
        for (RequestAction action : actions) {
            if (action instanceof RequestAction.Submit) {
                confirmed = false;
            } else if (action instanceof RequestAction.RecordPrefixLocation) {
                confirmed = true;
            } else if (action instanceof RequestAction.Deliver && !confirmed) {
                return true;
            }
        }
        return false;
    }

    void advanceClock(Duration time) {
        nowNanos += time.toNanos();
    }

    /**
     * Returns at random the oldest delayed event, else the oldest pending event, else a tick after advancing the clock.
     */
    private RequestEvent nextEvent() {
        if (!delayedEvents.isEmpty() && random.nextBoolean()) {
            return delayedEvents.poll();
        }
        if (!pendingEvents.isEmpty()) {
            return pendingEvents.poll();
        }
        nowNanos += TICK_NANOS;
        return new RequestEvent.Tick();
    }

    private void apply(RequestStep step) {
        state = step.state();
        step.actions().forEach(this::perform);
    }

    private void perform(RequestAction action) {
        actions.add(action);
        if (action instanceof RequestAction.Probe probe
                && !faultAt(AttemptStep.PROBE).isPresent()) {
            Message.ProbeResponse response = new Message.ProbeResponse(1, 0, 0, 0, 1, false);
            pendingEvents.add(new RequestEvent.ProbeResponseReceived(probe.host(), response));
        } else if (action instanceof RequestAction.Submit submit) {
            handleSubmit(submit.host(), submit.message());
        } else if (action instanceof RequestAction.Ping ping && !frozenHosts.contains(ping.host())) {
            pendingEvents.add(new RequestEvent.PongReceived(ping.host()));
        } else if (action instanceof RequestAction.Deliver deliver) {
            delivered.addAll(deliver.tokens());
        } else if (action instanceof RequestAction.Suspect suspect) {
            unavailableHosts.add(suspect.host());
        } else if (action instanceof RequestAction.Complete
                || action instanceof RequestAction.Fail
                || action instanceof RequestAction.Abandon) {
            terminalActions.add(action);
        }
    }

    // -- attempts

    private void handleSubmit(String host, Message.Submit submit) {
        List<Message> frames = frames(submit);
        Optional<FaultCase> faultCase = Optional.ofNullable(
                        faultsByAttempt.get(submit.id().number()))
                .filter(candidate -> candidate.step() != AttemptStep.PROBE);
        if (faultCase.isEmpty()) {
            forwardedToEngine = true;
            frames.forEach(frame -> pendingEvents.add(new RequestEvent.FrameReceived(host, frame)));
            return;
        }
        AttemptStep step = faultCase.get().step();
        Fault fault = faultCase.get().fault();
        int faultIndex = step.framesBefore(frames.size());
        forwardedToEngine |= step != AttemptStep.SUBMIT;
        fault.receivedFrames(frames, faultIndex, submit.id())
                .forEach(frame -> pendingEvents.add(new RequestEvent.FrameReceived(host, frame)));
        injectFault(fault, host, frames.subList(faultIndex, frames.size()));
    }

    private void injectFault(Fault fault, String host, List<Message> remainingFrames) {
        switch (fault) {
            case SUBMIT_NOT_WRITTEN -> disconnect(host, new RequestEvent.SubmitFailed(host));
            case LINK_LOST -> disconnect(host, new RequestEvent.HostLost(host, false));
            case BROKEN_FRAME -> disconnect(host, new RequestEvent.HostLost(host, true));
            case FROZEN -> frozenHosts.add(host);
            case FROZEN_THEN_RESUMED -> {
                frozenHosts.add(host);
                remainingFrames.forEach(frame -> delayedEvents.add(new RequestEvent.FrameReceived(host, frame)));
            }
            default -> {}
        }
    }

    private void disconnect(String host, RequestEvent event) {
        unavailableHosts.add(host);
        pendingEvents.add(event);
    }

    private Optional<FaultCase> faultAt(AttemptStep step) {
        int attempt = state.attemptNumber();
        return Optional.ofNullable(faultsByAttempt.get(attempt)).filter(faultCase -> faultCase.step() == step);
    }

    private static List<Message> frames(Message.Submit submit) {
        AttemptId id = submit.id();
        Stream<Message> chunks = IntStream.range(submit.resumeOffset(), OUTPUT_TOKENS)
                .mapToObj(offset -> new Message.Chunk(id, offset, List.of("t" + offset)));
        return Stream.of(
                        Stream.of(new Message.Started(id, 1, "w1", 0)),
                        chunks,
                        Stream.of(new Message.End(id, OUTPUT_TOKENS, "length", 1, 0)))
                .flatMap(frameStream -> frameStream)
                .map(Message.class::cast)
                .toList();
    }

    // -- request and context

    private RequestContext context() {
        List<ConnectedEngine> engines = IntStream.range(0, HOSTS)
                .mapToObj(index -> "h" + index)
                .filter(host -> !unavailableHosts.contains(host))
                .map(host -> new ConnectedEngine(host, "d", "v1", "w1", 1, false, 0))
                .toList();
        return new RequestContext(
                nowNanos, ConnectedEngines.ofAll(engines), Optional.empty(), retryAvailable, random.nextDouble());
    }

    static RequestSpec spec() {
        CacheScope scope = new CacheScope("club", "w1", "");
        PrefixChain chain = PrefixChain.of(scope, List.of("roll ".repeat(2000), "question"), 1000);
        PriorityClass batch = new PriorityClass("batch", 0, Duration.ofMinutes(5));
        return new RequestSpec("r", "v1", scope, batch, 1, chain, "", OUTPUT_TOKENS, 0, "d", 1);
    }
}
