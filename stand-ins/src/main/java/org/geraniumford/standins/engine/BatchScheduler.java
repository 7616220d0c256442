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
 * Schedules requests by continuous batching: one prefill at a time, and one token of every running request in each
 * decode step. Reads no clock; callers pass the time in microseconds from any fixed origin.
 */
final class BatchScheduler {
    /** Bounds the memory of the execution counts; the oldest request is dropped first. */
    private static final int MAX_COUNTED_REQUESTS = 100_000;

    private final int slots;
    private final int maxWaiting;
    private final BlockCache cache;
    private final PriorityQueue<Completion> waiting = new PriorityQueue<>(
            Comparator.comparingInt(Completion::priority).thenComparingLong(Completion::arrivalOrder));
    private final List<Completion> running = new ArrayList<>();
    private final Map<String, Integer> executions = new LinkedHashMap<>();
    private EngineTiming timing;
    private Completion prefilling;
    private long prefillEndMicros = Long.MAX_VALUE;
    private long nextStepMicros = Long.MAX_VALUE;
    private long arrivals;
    private long executedRequests;

    BatchScheduler(EngineOptions options, BlockCache cache) {
        this.slots = options.slots();
        this.maxWaiting = options.maxWaiting();
        this.timing = options.timing();
        this.cache = cache;
    }

    // -- commands

    /** Queues a request, or rejects it with 503 if the queue is full. */
    void submit(CompletionRequest request, CompletionSink sink, long now) {
        advance(now);
        if (waiting.size() >= maxWaiting) {
            sink.rejected(503, "overloaded");
            return;
        }
        waiting.add(new Completion(request, sink, arrivals++));
        startPrefill(now);
    }

    /** Completes the prefills and decode steps that are due. */
    void advance(long now) {
        while (nextAdvanceMicros() <= now) {
            if (prefillEndMicros <= nextStepMicros) {
                endPrefill(prefillEndMicros);
            } else {
                decodeStep(nextStepMicros);
            }
        }
    }

    /** Cancels every request with the given identifier, waiting or started, and notifies its sink. */
    void cancel(String requestId, long now) {
        advance(now);
        Predicate<Completion> hasRequestId =
                completion -> completion.request().requestId().equals(requestId);
        List<Completion> cancelled = Stream.concat(waiting.stream(), startedCompletions().stream())
                .filter(hasRequestId)
                .toList();
        remove(hasRequestId);
        cancelled.forEach(completion -> completion.sink().cancelled());
        startPrefill(now);
    }

    /** Drops the request of a sink without notifying the sink, because the caller has disconnected. */
    void cancel(CompletionSink sink, long now) {
        advance(now);
        remove(completion -> completion.sink().equals(sink));
        startPrefill(now);
    }

    /**
     * Drops every request for weights other than the given ones: rejects waiting ones with 409, aborts started ones.
     */
    void dropMismatchedRequests(String weightsDigest, long now) {
        advance(now);
        Predicate<Completion> mismatched =
                completion -> !completion.request().weightsDigest().equals(weightsDigest);
        List<Completion> rejected = waiting.stream().filter(mismatched).toList();
        List<Completion> aborted =
                startedCompletions().stream().filter(mismatched).toList();
        remove(mismatched);
        rejected.forEach(completion -> completion.sink().rejected(409, "wrong_weights"));
        aborted.forEach(completion -> completion.sink().aborted());
        startPrefill(now);
    }

    /** Aborts every request whose prefill has started. */
    void abortStarted() {
        Collection<Completion> aborted = startedCompletions();
        remove(aborted::contains);
        aborted.forEach(completion -> completion.sink().aborted());
    }

    /** Drops every request without a response, as a crash does. */
    void clear() {
        remove(completion -> true);
    }

    /** Sets the durations of the prefills and decode steps that start from now on. */
    void setTiming(EngineTiming newTiming) {
        timing = newTiming;
    }

    // -- queries

    /** Returns the time of the next prefill end or decode step, or {@link Long#MAX_VALUE} if nothing is due. */
    long nextAdvanceMicros() {
        return Math.min(prefillEndMicros, nextStepMicros);
    }

    int waiting() {
        return waiting.size();
    }

    int running() {
        return running.size() + (prefilling == null ? 0 : 1);
    }

    /** Returns the number of prefills that started; {@link #clear()} does not reset it. */
    long executedRequests() {
        return executedRequests;
    }

    /** Returns how often the prefill of each request started, by request identifier. */
    Map<String, Integer> executions() {
        return Map.copyOf(executions);
    }

    // -- prefill

    /** Starts the prefill of the next waiting request, unless another prefill is running or all slots are taken. */
    private void startPrefill(long now) {
        if (prefilling != null || waiting.isEmpty() || running.size() >= slots) {
            return;
        }
        prefilling = waiting.poll();
        countExecution(prefilling.request().requestId());
        int matched = cache.matchPrefix(prefilling.request());
        int tokens = prefilling.start(matched);
        int uncachedBlocks = prefilling.request().pieceKeys().size() - matched;
        prefillEndMicros = now + timing.prefillMicros(tokens, uncachedBlocks);
    }

    private void endPrefill(long now) {
        cache.addComputed(prefilling.request(), prefilling.cachedBlocks());
        if (running.isEmpty()) {
            nextStepMicros = now + timing.decodeStepMicros(1);
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
        nextStepMicros = running.isEmpty() ? Long.MAX_VALUE : now + timing.decodeStepMicros(running.size());
        startPrefill(now);
    }

    // -- removal

    private Collection<Completion> startedCompletions() {
        List<Completion> started = new ArrayList<>(running);
        if (prefilling != null) {
            started.add(prefilling);
        }
        return started;
    }

    /** Removes the requests that match a condition without notifying their sinks. */
    private void remove(Predicate<Completion> condition) {
        waiting.removeIf(condition);
        running.removeIf(condition);
        if (running.isEmpty()) {
            nextStepMicros = Long.MAX_VALUE;
        }
        if (prefilling != null && condition.test(prefilling)) {
            prefilling = null;
            prefillEndMicros = Long.MAX_VALUE;
        }
    }
}
