package org.geraniumford.standins.engine;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.geraniumford.core.prefix.BlockKey;

/** The engine behind the HTTP interface. Confined to one thread. */
final class Engine {
    private final EventLoop loop;
    private final EngineOptions options;
    private final CacheEventPublisher events;
    private final BlockCache cache;
    private final BatchScheduler scheduler;
    private final LoadSampler loadSampler;
    private LoadedModel loadedModel;
    private Optional<EngineOrder> lastOrder = Optional.empty();
    private long incarnation;
    private Optional<Future<?>> wakeUp = Optional.empty();
    private long wakeUpAt = Long.MAX_VALUE;

    Engine(EventLoop loop, EngineOptions options) {
        this.loop = loop;
        this.options = options;
        this.incarnation = epochMicros();
        this.events = new CacheEventPublisher(loop, options, incarnation);
        this.cache = new BlockCache(options.capacityBlocks(), events);
        this.scheduler = new BatchScheduler(options, cache);
        this.loadSampler = new LoadSampler(Math.round(options.timing().loadReportLagMicros()));
        this.loadedModel = LoadedModel.of(options);
    }

    // -- requests

    void submit(CompletionRequest request, CompletionSink sink) {
        if (!request.weightsDigest().equals(loadedModel.weightsDigest())) {
            sink.refused(409, "wrong_weights");
            return;
        }
        scheduler.submit(request, sink, now());
        scheduleWakeUp();
    }

    void cancel(String requestId) {
        scheduler.cancel(requestId, now());
        scheduleWakeUp();
    }

    void cancel(CompletionSink sink) {
        scheduler.cancel(sink, now());
        scheduleWakeUp();
    }

    // -- orders

    /** Says whether an order is taken, and remembers its fencing number. */
    boolean accept(EngineOrder order) {
        boolean old = lastOrder.filter(last -> order.compareTo(last) <= 0).isPresent();
        if (old && options.checksFencing()) {
            return false;
        }
        lastOrder = Optional.of(order);
        return true;
    }

    /** Carries out an order, then runs the continuation. */
    void perform(EngineOrder order, Runnable done) {
        long delay = order.kind().loadsWeights() ? Math.round(options.timing().weightLoadMicros()) : 0;
        long started = incarnation;
        loop.schedule(
                () -> {
                    if (started == incarnation) {
                        replaceModel(loadedModel.apply(order));
                        done.run();
                    }
                },
                delay,
                TimeUnit.MICROSECONDS);
    }

    private void replaceModel(LoadedModel next) {
        boolean otherWeights = !next.weightsDigest().equals(loadedModel.weightsDigest());
        loadedModel = next;
        if (otherWeights) {
            scheduler.dropMismatchedRequests(next.weightsDigest(), now());
            cache.clear();
            scheduleWakeUp();
        }
    }

    // -- cached pieces

    Optional<CachedBlock> exportBlock(BlockKey key) {
        return cache.find(key);
    }

    /** Adds a piece, unless it belongs to other weights. */
    boolean importBlock(BlockKey key, CachedBlock piece) {
        boolean fits = piece.weightsDigest().equals(loadedModel.weightsDigest());
        if (fits) {
            cache.addImported(key, piece);
        }
        return fits;
    }

    // -- faults

    void crash() {
        scheduler.clear();
        cache.clearSilently();
        incarnation = Math.max(epochMicros(), incarnation + 1);
        events.restart(incarnation);
        loadedModel = LoadedModel.of(options);
        lastOrder = Optional.empty();
        scheduleWakeUp();
    }

    void abortStreams() {
        scheduler.abortStarted();
        scheduleWakeUp();
    }

    void setSlowdown(double factor) {
        scheduler.setTiming(options.timing().scaled(1 / factor));
    }

    // -- queries

    CacheEventPublisher events() {
        return events;
    }

    long incarnation() {
        return incarnation;
    }

    EngineTiming timing() {
        return options.timing();
    }

    LoadedModel loadedModel() {
        return loadedModel;
    }

    BlockCache cache() {
        return cache;
    }

    Map<String, Integer> executions() {
        return scheduler.executions();
    }

    EngineState state() {
        LoadSampler.Sample sample = loadSampler.sample(scheduler.running(), scheduler.waiting(), now());
        return new EngineState(
                incarnation,
                loadedModel.modelVersion(),
                loadedModel.weightsDigest(),
                loadedModel.adapters(),
                loadedModel.role(),
                sample.running(),
                sample.waiting(),
                options.capacityBlocks(),
                cache.size(),
                events.sequence(),
                options.checksFencing(),
                cache.counters(scheduler.executedRequests()));
    }

    // -- time

    private void scheduleWakeUp() {
        long due = scheduler.nextAdvanceMicros();
        if (due == wakeUpAt) {
            return;
        }
        wakeUp.ifPresent(timer -> timer.cancel(false));
        wakeUpAt = due;
        wakeUp = due == Long.MAX_VALUE
                ? Optional.empty()
                : Optional.of(loop.schedule(this::wakeUp, Math.max(0, due - now()), TimeUnit.MICROSECONDS));
    }

    private void wakeUp() {
        wakeUpAt = Long.MAX_VALUE;
        wakeUp = Optional.empty();
        scheduler.advance(now());
        scheduleWakeUp();
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
    }

    private static long epochMicros() {
        return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    }
}
