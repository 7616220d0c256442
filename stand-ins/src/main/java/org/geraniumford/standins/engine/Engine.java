package org.geraniumford.standins.engine;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.geraniumford.core.prefix.BlockKey;

/**
 * Simulates a model engine: runs requests, executes orders, and holds the loaded model and the prefix cache. Confined
 * to the thread of the event loop.
 */
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
    private long wakeUpMicros = Long.MAX_VALUE;

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

    /** Queues a request, or rejects it with 409 if it is for weights that are not loaded. */
    void submit(CompletionRequest request, CompletionSink sink) {
        if (!request.weightsDigest().equals(loadedModel.weightsDigest())) {
            sink.rejected(409, "wrong_weights");
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

    /**
     * Accepts an order if its fencing number is higher than that of the last accepted order or fencing is not checked,
     * and returns whether it did. Records the fencing number of an accepted order as the latest.
     */
    boolean accept(EngineOrder order) {
        boolean outdated = lastOrder.filter(last -> order.compareTo(last) <= 0).isPresent();
        if (outdated && options.checksFencing()) {
            return false;
        }
        lastOrder = Optional.of(order);
        return true;
    }

    /**
     * Executes an order, after the load time if the order loads weights, then runs a callback. A crash in the meantime
     * cancels both.
     */
    void perform(EngineOrder order, Runnable callback) {
        long delayMicros =
                order.kind().loadsWeights() ? Math.round(options.timing().weightLoadMicros()) : 0;
        long startIncarnation = incarnation;
        loop.schedule(
                () -> {
                    if (startIncarnation == incarnation) {
                        replaceModel(loadedModel.apply(order));
                        callback.run();
                    }
                },
                delayMicros,
                TimeUnit.MICROSECONDS);
    }

    private void replaceModel(LoadedModel newModel) {
        boolean weightsChanged = !newModel.weightsDigest().equals(loadedModel.weightsDigest());
        loadedModel = newModel;
        if (weightsChanged) {
            scheduler.dropMismatchedRequests(newModel.weightsDigest(), now());
            cache.clear();
            scheduleWakeUp();
        }
    }

    // -- cached blocks

    Optional<CachedBlock> exportBlock(BlockKey key) {
        return cache.find(key);
    }

    /** Adds a block if the loaded weights computed it, and returns whether it was added. */
    boolean importBlock(BlockKey key, CachedBlock block) {
        boolean sameWeights = block.weightsDigest().equals(loadedModel.weightsDigest());
        if (sameWeights) {
            cache.addImported(key, block);
        }
        return sameWeights;
    }

    // -- faults

    /** Loses all state, as a crash does, and starts a new incarnation with the initial model. */
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

    /** Makes prefill and decode slower by a factor; 1 is the configured speed. */
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

    /** Returns the configured timing, without the slowdown. */
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

    /** Returns the state of the engine, and takes a load sample if one is due. */
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
        long dueMicros = scheduler.nextAdvanceMicros();
        if (dueMicros == wakeUpMicros) {
            return;
        }
        wakeUp.ifPresent(timer -> timer.cancel(false));
        wakeUpMicros = dueMicros;
        wakeUp = dueMicros == Long.MAX_VALUE
                ? Optional.empty()
                : Optional.of(loop.schedule(this::wakeUp, Math.max(0, dueMicros - now()), TimeUnit.MICROSECONDS));
    }

    private void wakeUp() {
        wakeUpMicros = Long.MAX_VALUE;
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
