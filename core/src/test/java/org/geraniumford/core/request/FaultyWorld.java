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
import org.geraniumford.core.routing.Backend;
import org.geraniumford.core.routing.CostModel;
import org.geraniumford.core.routing.Fleet;
import org.geraniumford.core.routing.RoutingPolicy;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.Message;

/** Four hosts, a virtual clock and one request, with a fault at a step of some attempts. */
final class FaultyWorld {
    static final int ANSWER_TOKENS = 40;

    private static final int HOSTS = 4;
    private static final int WINDOW = 16;
    private static final long TICK_NANOS = Duration.ofMillis(100).toNanos();
    private static final int MAX_STEPS = 20_000;
    private static final RequestLimits LIMITS = new RequestLimits(
            Duration.ofMillis(20),
            Duration.ofMillis(500),
            Duration.ofSeconds(1),
            Duration.ofSeconds(30),
            Duration.ofSeconds(30),
            WINDOW);

    private final RequestMachine machine =
            RequestMachine.of(RoutingPolicy.PROBE, CostModel.standard(), RetryPolicy.standard(), LIMITS);
    private final Map<Integer, Cell> faults;
    private final boolean budget;
    private final SplittableRandom random;
    private final Deque<RequestEvent> arriving = new ArrayDeque<>();
    private final Deque<RequestEvent> late = new ArrayDeque<>();
    private final Set<String> gone = new HashSet<>();
    private final Set<String> frozen = new HashSet<>();
    final List<String> delivered = new ArrayList<>();
    final List<RequestAction> terminals = new ArrayList<>();
    final List<RequestAction> actions = new ArrayList<>();
    private RequestState state;
    private long now;
    boolean passedToEngine;

    /** One cell of the fault table. */
    record Cell(Step step, Fault fault) {}

    FaultyWorld(Map<Integer, Cell> faults, boolean budget, long seed) {
        this.faults = faults;
        this.budget = budget;
        this.random = new SplittableRandom(seed);
    }

    // -- running

    void run() {
        apply(machine.start(spec(), context()));
        int steps = 0;
        while (!state.done() && steps < MAX_STEPS) {
            steps++;
            send(next());
        }
        Stream.concat(arriving.stream(), late.stream()).toList().forEach(this::send);
    }

    void runUntilStarted() {
        apply(machine.start(spec(), context()));
        while (!(state.phase() instanceof Phase.Running running && running.started())) {
            send(next());
        }
    }

    void send(RequestEvent event) {
        apply(machine.step(state, event, context()));
    }

    RequestState state() {
        return state;
    }

    /** Says whether tokens of an attempt went to the caller before its engine had named the right weights. */
    boolean deliveredBeforeWeightsWereKnown() {
        boolean known = false;
        for (RequestAction action : actions) {
            if (action instanceof RequestAction.Submit) {
                known = false;
            } else if (action instanceof RequestAction.Served) {
                known = true;
            } else if (action instanceof RequestAction.Deliver && !known) {
                return true;
            }
        }
        return false;
    }

    void pass(Duration time) {
        now += time.toNanos();
    }

    private RequestEvent next() {
        if (!late.isEmpty() && random.nextBoolean()) {
            return late.poll();
        }
        if (!arriving.isEmpty()) {
            return arriving.poll();
        }
        now += TICK_NANOS;
        return new RequestEvent.Tick();
    }

    private void apply(RequestStep step) {
        state = step.state();
        step.actions().forEach(this::perform);
    }

    private void perform(RequestAction action) {
        actions.add(action);
        if (action instanceof RequestAction.Probe probe && !faultAt(Step.PROBE).isPresent()) {
            Message.ProbeAnswer answer = new Message.ProbeAnswer(1, 0, 0, 0, 1, false);
            arriving.add(new RequestEvent.ProbeAnswered(probe.host(), answer));
        } else if (action instanceof RequestAction.Submit submit) {
            submitted(submit.host(), submit.message());
        } else if (action instanceof RequestAction.Ping ping && !frozen.contains(ping.host())) {
            arriving.add(new RequestEvent.Heard(ping.host()));
        } else if (action instanceof RequestAction.Deliver deliver) {
            delivered.addAll(deliver.tokens());
        } else if (action instanceof RequestAction.Suspect suspect) {
            gone.add(suspect.host());
        } else if (action instanceof RequestAction.Complete
                || action instanceof RequestAction.Fail
                || action instanceof RequestAction.Abandon) {
            terminals.add(action);
        }
    }

    // -- attempts

    private void submitted(String host, Message.Submit submit) {
        List<Message> frames = frames(submit);
        Optional<Cell> cell =
                Optional.ofNullable(faults.get(submit.id().attempt())).filter(present -> present.step() != Step.PROBE);
        if (cell.isEmpty()) {
            passedToEngine = true;
            frames.forEach(frame -> arriving.add(new RequestEvent.Received(host, frame)));
            return;
        }
        Step step = cell.get().step();
        Fault fault = cell.get().fault();
        int at = step.framesBefore(frames.size());
        passedToEngine |= step != Step.SUBMIT;
        fault.arrives(frames, at, submit.id()).forEach(frame -> arriving.add(new RequestEvent.Received(host, frame)));
        strike(fault, host, frames.subList(at, frames.size()));
    }

    private void strike(Fault fault, String host, List<Message> rest) {
        switch (fault) {
            case SUBMIT_NOT_WRITTEN -> lose(host, new RequestEvent.SubmitFailed(host));
            case LINK_LOST -> lose(host, new RequestEvent.HostLost(host, false));
            case BROKEN_FRAME -> lose(host, new RequestEvent.HostLost(host, true));
            case FROZEN -> frozen.add(host);
            case FROZEN_THEN_RESUMED -> {
                frozen.add(host);
                rest.forEach(frame -> late.add(new RequestEvent.Received(host, frame)));
            }
            default -> {}
        }
    }

    private void lose(String host, RequestEvent event) {
        gone.add(host);
        arriving.add(event);
    }

    private Optional<Cell> faultAt(Step step) {
        int attempt = state.attempt();
        return Optional.ofNullable(faults.get(attempt)).filter(cell -> cell.step() == step);
    }

    private static List<Message> frames(Message.Submit submit) {
        AttemptId id = submit.id();
        Stream<Message> chunks = IntStream.range(submit.resumeOffset(), ANSWER_TOKENS)
                .mapToObj(offset -> new Message.Chunk(id, offset, List.of("t" + offset)));
        return Stream.of(
                        Stream.of(new Message.Started(id, 1, "w1", 0)),
                        chunks,
                        Stream.of(new Message.End(id, ANSWER_TOKENS, "length", 1, 0)))
                .flatMap(part -> part)
                .map(Message.class::cast)
                .toList();
    }

    // -- surroundings

    private RequestContext context() {
        List<Backend> backends = IntStream.range(0, HOSTS)
                .mapToObj(index -> "h" + index)
                .filter(host -> !gone.contains(host))
                .map(host -> new Backend(host, "d", "v1", "w1", 1, false, 0))
                .toList();
        return new RequestContext(now, Fleet.ofAll(backends), Optional.empty(), budget, random.nextDouble());
    }

    static RequestSpec spec() {
        CacheScope scope = new CacheScope("club", "w1", "");
        PrefixChain chain = PrefixChain.of(scope, List.of("roll ".repeat(2000), "question"), 1000);
        PriorityClass batch = new PriorityClass("batch", 0, Duration.ofMinutes(5));
        return new RequestSpec("r", "v1", scope, batch, 1, chain, "", ANSWER_TOKENS, 0, "d", 1);
    }
}
