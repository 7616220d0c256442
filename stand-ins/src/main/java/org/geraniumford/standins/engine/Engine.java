package org.geraniumford.standins.engine;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.geraniumford.core.prefix.PieceKey;

/** The engine behind the HTTP interface. Confined to one thread. */
final class Engine {
    private final EventLoop loop;
    private final EngineOptions options;
    private final CacheEventLog events;
    private final PieceCache cache;
    private final Batch batch;
    private final LoadFigures load;
    private EngineHolding holding;
    private Optional<EngineOrder> lastOrder = Optional.empty();
    private long incarnation;
    private Optional<Future<?>> wakeUp = Optional.empty();
    private long wakeUpAt = Long.MAX_VALUE;

    Engine(EventLoop loop, EngineOptions options) {
        this.loop = loop;
        this.options = options;
        this.incarnation = epochMicros();
        this.events = new CacheEventLog(loop, options, incarnation);
        this.cache = new PieceCache(options.capacityPieces(), events);
        this.batch = new Batch(options, cache);
        this.load = new LoadFigures(Math.round(options.timing().loadLag()));
        this.holding = EngineHolding.of(options);
    }

    // -- requests

    void submit(CompletionRequest request, CompletionSink sink) {
        if (!request.weightsDigest().equals(holding.weightsDigest())) {
            sink.refused(409, "wrong_weights");
            return;
        }
        batch.submit(request, sink, now());
        scheduleWakeUp();
    }

    void cancel(String requestId) {
        batch.cancel(requestId, now());
        scheduleWakeUp();
    }

    void cancel(CompletionSink sink) {
        batch.cancel(sink, now());
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
        long delay = order.kind().loads() ? Math.round(options.timing().load()) : 0;
        long started = incarnation;
        loop.schedule(
                () -> {
                    if (started == incarnation) {
                        hold(holding.after(order));
                        done.run();
                    }
                },
                delay,
                TimeUnit.MICROSECONDS);
    }

    private void hold(EngineHolding next) {
        boolean otherWeights = !next.weightsDigest().equals(holding.weightsDigest());
        holding = next;
        if (otherWeights) {
            batch.dropOtherWeights(next.weightsDigest(), now());
            cache.clear();
            scheduleWakeUp();
        }
    }

    // -- cached pieces

    Optional<CachedPiece> export(PieceKey key) {
        return cache.find(key);
    }

    /** Adds a piece, unless it belongs to other weights. */
    boolean importPiece(PieceKey key, CachedPiece piece) {
        boolean fits = piece.weightsDigest().equals(holding.weightsDigest());
        if (fits) {
            cache.imported(key, piece);
        }
        return fits;
    }

    // -- faults

    void crash() {
        batch.clear();
        cache.lose();
        incarnation = Math.max(epochMicros(), incarnation + 1);
        events.restart(incarnation);
        holding = EngineHolding.of(options);
        lastOrder = Optional.empty();
        scheduleWakeUp();
    }

    void cutStreams() {
        batch.cut();
        scheduleWakeUp();
    }

    void slowdown(double factor) {
        batch.timing(options.timing().scaled(1 / factor));
    }

    // -- queries

    CacheEventLog events() {
        return events;
    }

    long incarnation() {
        return incarnation;
    }

    EngineTiming timing() {
        return options.timing();
    }

    EngineHolding holding() {
        return holding;
    }

    PieceCache cache() {
        return cache;
    }

    Map<String, Integer> executions() {
        return batch.executions();
    }

    EngineState state() {
        LoadFigures.Sample sample = load.report(batch.running(), batch.waiting(), now());
        return new EngineState(
                incarnation,
                holding.modelVersion(),
                holding.weightsDigest(),
                holding.adapters(),
                holding.role(),
                sample.running(),
                sample.waiting(),
                options.capacityPieces(),
                cache.size(),
                events.sequence(),
                options.checksFencing(),
                cache.counters(batch.executed()));
    }

    // -- time

    private void scheduleWakeUp() {
        long due = batch.nextDue();
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
        batch.advance(now());
        scheduleWakeUp();
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
    }

    private static long epochMicros() {
        return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    }
}
