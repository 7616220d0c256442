package org.geraniumford.core.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.geraniumford.core.prompt.PromptSegment;
import org.geraniumford.core.prompt.PromptSpec;
import org.geraniumford.core.service.EngineSpec;
import org.geraniumford.core.service.SharingGroup;

/**
 * Arrivals at engines that prefill prompts in chunks, more urgent ones first, while each running response gets a token
 * per step. Servers are chosen by {@link ServerChooser} and measured as in an entry.
 */
final class EngineQueues {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final long CHUNK_TOKENS = 1024;
    private static final double REFRESH_MS = 250;
    private static final double STEP_MS_AT_40_TOKENS_PER_MS = 5;

    /** A kind of request: {@code uncachedTokens} of its prompt are its own, the others are shared. */
    record Kind(String name, int sharedTokens, int uncachedTokens, int outputTokens, int priority, int objectiveMs) {}

    /** A request that has got its first event. */
    record Served(double sentMs, Kind kind, String server, double firstMs) {
        boolean isOnTime() {
            return firstMs <= kind.objectiveMs();
        }
    }

    private record Running(double sentMs, Kind kind, ServerState state, long prefillTokens, long before, long left) {
        Running withoutChunk() {
            return new Running(sentMs, kind, state, prefillTokens, before, Math.max(0, left - CHUNK_TOKENS));
        }
    }

    private record Event(double atMs, Runnable action) {}

    private static final class Engine {
        private final double tokensPerMs;
        private final PriorityQueue<Running> waiting =
                new PriorityQueue<>((a, b) -> a.kind().priority() != b.kind().priority()
                        ? Integer.compare(a.kind().priority(), b.kind().priority())
                        : Double.compare(a.sentMs(), b.sentMs()));
        private boolean busy;

        Engine(double tokensPerMs) {
            this.tokensPerMs = tokensPerMs;
        }
    }

    private final ServerDirectory directory =
            ServerDirectory.empty(name -> Optional.of(new EngineSpec(64, 100_000, false)));
    private final ServerSpeeds speeds = ServerSpeeds.of(directory);
    private final Map<String, Engine> engines = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> Double.compare(a.atMs(), b.atMs()));
    private final List<Served> served = new ArrayList<>();
    private final Random random;
    private final ServerChooser chooser;
    private double nowMs;
    private long ids;

    EngineQueues(long seed, double... tokensPerMs) {
        random = new Random(seed);
        chooser = ServerChooser.of(new Random(seed + 1));
        for (int i = 0; i < tokensPerMs.length; i++) {
            String id = "engine-" + i + "-" + (int) tokensPerMs[i];
            engines.put(id, new Engine(tokensPerMs[i]));
            directory.register(
                    new BackendServer(id, 1, "service", "10.0.0.1:80", "here", 64, false, Map.of("model", 1)));
        }
        at(REFRESH_MS, this::refresh);
    }

    List<Served> served() {
        return served;
    }

    /** Adds arrivals of a kind at random times. */
    void arrive(Kind kind, double fromMs, double untilMs, double perSecond) {
        double atMs = fromMs;
        while (true) {
            atMs += -Math.log(1 - random.nextDouble()) * 1000 / perSecond;
            if (atMs >= untilMs) {
                return;
            }
            at(atMs, () -> send(kind));
        }
    }

    void run() {
        while (events.size() > 1 || nowMs == 0) {
            Event event = events.remove();
            nowMs = event.atMs();
            event.action().run();
        }
    }

    private void at(double atMs, Runnable action) {
        events.add(new Event(atMs, action));
    }

    private long nowNanos() {
        return Math.round(nowMs * NANOS_PER_MILLI);
    }

    private void refresh() {
        speeds.refresh(nowNanos());
        at(nowMs + REFRESH_MS, this::refresh);
    }

    private void send(Kind kind) {
        ids++;
        PromptSpec prompt = new PromptSpec(
                "model",
                kind.sharedTokens() + kind.uncachedTokens(),
                kind.outputTokens(),
                List.of(
                        new PromptSegment("shared-" + kind.name(), kind.sharedTokens()),
                        new PromptSegment("own-" + ids, kind.uncachedTokens())));
        ScopedPrompt scoped = ScopedPrompt.of(new SegmentScope(SharingGroup.ofAllExcept(Set.of()), "1"), prompt);
        ServerQuery query = new ServerQuery(
                "service",
                "here",
                4 * (kind.sharedTokens() + kind.uncachedTokens()),
                Optional.of(scoped),
                1,
                0,
                OptionalLong.empty(),
                Duration.ofMillis(kind.objectiveMs()),
                Duration.ofSeconds(15),
                false,
                Set.of(),
                kind.priority(),
                false,
                false);
        ServerState state = chooser.choose(directory, query, nowNanos()).orElseThrow();
        long prefillTokens = state.estimatedPrefillTokens(scoped, false);
        state.cache().recordPrefilled(scoped.sharedSegments());
        long before = state.totalLoad().pendingPrefillTokens(kind.priority());
        state.recordAttemptStart(prompt.totalTokens(), prefillTokens, kind.priority());
        Engine engine = engines.get(state.server().id());
        engine.waiting.add(new Running(nowMs, kind, state, prefillTokens, before, prefillTokens));
        prefillNext(engine);
    }

    private void prefillNext(Engine engine) {
        if (engine.busy || engine.waiting.isEmpty()) {
            return;
        }
        engine.busy = true;
        Running next = engine.waiting.remove();
        at(nowMs + Math.min(CHUNK_TOKENS, next.left()) / engine.tokensPerMs, () -> {
            engine.busy = false;
            Running rest = next.withoutChunk();
            if (rest.left() > 0) {
                engine.waiting.add(rest);
            } else {
                begin(next, STEP_MS_AT_40_TOKENS_PER_MS * 40 / engine.tokensPerMs);
            }
            prefillNext(engine);
        });
    }

    private void begin(Running running, double stepMs) {
        Kind kind = running.kind();
        ServerState state = running.state();
        double firstMs = nowMs - running.sentMs() + stepMs;
        served.add(new Served(running.sentMs(), kind, state.server().id(), firstMs));
        state.recordPrefilled(running.prefillTokens(), kind.priority());
        long nanos = Math.round(firstMs * NANOS_PER_MILLI);
        state.speedEstimate().recordPrefill(running.before(), running.prefillTokens(), nanos, nowNanos());
        at(nowMs + stepMs * kind.outputTokens(), () -> {
            state.recordEnded(kind.sharedTokens() + kind.uncachedTokens() + kind.outputTokens(), kind.priority());
            state.speedEstimate().recordStep(stepMs, nowNanos());
        });
    }
}
