package org.geraniumford.standins.engine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Continuous batching: one prefill at a time, and one token of every running request in each decode step. It reads no
 * clock; times are microseconds from any fixed origin.
 */
final class BatchScheduler {
    private static final int MAX_COUNTED_REQUESTS = 100_000;

    private final int slots;
    private final int maxWaiting;
    private final BlockCache cache;
    private final PriorityQueue<Completion> waiting = new PriorityQueue<>(
            Comparator.comparingInt(Completion::priority).thenComparingLong(Completion::arrivalOrder));
    private final List<Completion> running = new ArrayList<>();
    private final Map<String, Integer> executions = new LinkedHashMap<>();
    private EngineTiming setTiming;
    private Completion prefilling;
    private long prefillEndMicros = Long.MAX_VALUE;
    private long nextStepMicros = Long.MAX_VALUE;
    private long arrivals;
    private long executedRequests;

    BatchScheduler(EngineOptions options, BlockCache cache) {
        this.slots = options.slots();
        this.maxWaiting = options.maxWaiting();
        this.setTiming = options.timing();
        this.cache = cache;
    }

    // -- commands

    void submit(CompletionRequest request, CompletionSink sink, long now) {
        advance(now);
        if (waiting.size() >= maxWaiting) {
            sink.refused(503, "overloaded");
            return;
        }
        waiting.add(new Completion(request, sink, arrivals++));
        startPrefill(now);
    }

    /** Does all that is due. */
    void advance(long now) {
        while (nextAdvanceMicros() <= now) {
            if (prefillEndMicros <= nextStepMicros) {
                endPrefill(prefillEndMicros);
            } else {
                decodeStep(nextStepMicros);
            }
        }
    }

    /** Drops the requests of one identifier. */
    void cancel(String requestId, long now) {
        advance(now);
        Predicate<Completion> named =
                completion -> completion.request().requestId().equals(requestId);
        List<Completion> dropped = Stream.concat(waiting.stream(), started().stream())
                .filter(named)
                .toList();
        remove(named);
        dropped.forEach(completion -> completion.sink().cancelled());
        startPrefill(now);
    }

    /** Drops one request without an answer. */
    void cancel(CompletionSink sink, long now) {
        advance(now);
        remove(completion -> completion.sink().equals(sink));
        startPrefill(now);
    }

    /** Drops every request that needs other weights: those that wait are refused, the others are cut. */
    void dropMismatchedRequests(String weightsDigest, long now) {
        advance(now);
        Predicate<Completion> other =
                completion -> !completion.request().weightsDigest().equals(weightsDigest);
        List<Completion> refused = waiting.stream().filter(other).toList();
        List<Completion> cut = started().stream().filter(other).toList();
        remove(other);
        refused.forEach(completion -> completion.sink().refused(409, "wrong_weights"));
        cut.forEach(completion -> completion.sink().aborted());
        startPrefill(now);
    }

    /** Cuts the answers that have begun. */
    void abortStarted() {
        Collection<Completion> cut = started();
        remove(cut::contains);
        cut.forEach(completion -> completion.sink().aborted());
    }

    /** Drops every request, as a crash does. */
    void clear() {
        remove(completion -> true);
    }

    void setTiming(EngineTiming other) {
        setTiming = other;
    }

    // -- queries

    /** Returns when {@link #advance} has something to do; {@link Long#MAX_VALUE} if never. */
    long nextAdvanceMicros() {
        return Math.min(prefillEndMicros, nextStepMicros);
    }

    int waiting() {
        return waiting.size();
    }

    int running() {
        return running.size() + (prefilling == null ? 0 : 1);
    }

    long executedRequests() {
        return executedRequests;
    }

    Map<String, Integer> executions() {
        return Map.copyOf(executions);
    }

    // -- prefill

    private void startPrefill(long now) {
        if (prefilling != null || waiting.isEmpty() || running.size() >= slots) {
            return;
        }
        prefilling = waiting.poll();
        countExecution(prefilling.request().requestId());
        int matched = cache.matchPrefix(prefilling.request());
        int tokens = prefilling.start(matched);
        int pieces = prefilling.request().pieceKeys().size() - matched;
        prefillEndMicros = now + setTiming.prefillMicros(tokens, pieces);
    }

    private void endPrefill(long now) {
        cache.addComputed(prefilling.request(), prefilling.cachedBlocks());
        if (running.isEmpty()) {
            nextStepMicros = now + setTiming.decodeStepMicros(1);
        }
        running.add(prefilling);
        prefilling = null;
        prefillEndMicros = Long.MAX_VALUE;
        startPrefill(now);
    }

    private void countExecution(String requestId) {
        executedRequests++;
        executions.merge(requestId, 1, Integer::sum);
        if (executions.size() > MAX_COUNTED_REQUESTS) {
            executions.remove(executions.keySet().iterator().next());
        }
    }

    // -- decode

    private void decodeStep(long now) {
        running.forEach(Completion::emitToken);
        List<Completion> complete =
                running.stream().filter(Completion::isComplete).toList();
        running.removeAll(complete);
        complete.forEach(Completion::finish);
        nextStepMicros = running.isEmpty() ? Long.MAX_VALUE : now + setTiming.decodeStepMicros(running.size());
        startPrefill(now);
    }

    // -- removal

    private Collection<Completion> started() {
        List<Completion> started = new ArrayList<>(running);
        if (prefilling != null) {
            started.add(prefilling);
        }
        return started;
    }

    private void remove(Predicate<Completion> which) {
        waiting.removeIf(which);
        running.removeIf(which);
        if (running.isEmpty()) {
            nextStepMicros = Long.MAX_VALUE;
        }
        if (prefilling != null && which.test(prefilling)) {
            prefilling = null;
            prefillEndMicros = Long.MAX_VALUE;
        }
    }
}
