package org.geraniumford.daemon.sidecar;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.geraniumford.core.admission.AdmissionAction;
import org.geraniumford.core.admission.AdmissionQueue;
import org.geraniumford.core.cache.CacheEvent;
import org.geraniumford.core.cache.CacheIndex;
import org.geraniumford.core.prefix.Block;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.engine.CompletionEvent;
import org.geraniumford.transport.engine.Engine;
import org.geraniumford.transport.log.LogEvent;

/** The waiting and running model requests of one sidecar. Used on the sidecar's worker thread only. */
final class ModelRequests implements AttemptListener {
    private final CacheIndex index;
    private final AdmissionQueue queue;
    private final SidecarMetrics metrics;
    private final LongSupplier nanoTime;
    private final ResponseStreams streams;
    private final Map<AttemptId, ModelAttempt> waiting = new HashMap<>();

    private ModelRequests(
            Engine engine,
            EventRing ring,
            CacheIndex index,
            AdmissionQueue queue,
            SidecarMetrics metrics,
            LongSupplier nanoTime) {
        this.index = index;
        this.queue = queue;
        this.metrics = metrics;
        this.nanoTime = nanoTime;
        this.streams = ResponseStreams.of(engine, ring, this);
    }

    // -- construction

    static ModelRequests of(
            Engine engine,
            EventRing ring,
            CacheIndex index,
            AdmissionQueue queue,
            SidecarMetrics metrics,
            LongSupplier nanoTime) {
        return new ModelRequests(engine, ring, index, queue, metrics, nanoTime);
    }

    // -- commands: from peers

    void submit(Peer peer, Message.Submit submit, BackendState backend) {
        ModelAttempt attempt = ModelAttempt.of(peer, submit);
        Optional<Refusal> refusal = checkSubmit(submit, backend);
        if (refusal.isPresent()) {
            refused(attempt, refusal.get());
            return;
        }
        waiting.put(attempt.id(), attempt);
        long nowNanos = nanoTime.getAsLong();
        perform(queue.offer(attempt.admissionRequest(nowNanos), index, nowNanos));
        startNext();
    }

    void applyCredit(Message.Credit credit) {
        streams.applyCredit(credit);
    }

    void cancel(AttemptId id) {
        if (waiting.remove(id) != null) {
            queue.remove(id);
        }
        streams.find(id).ifPresent(streams::stop);
        startNext();
    }

    void removePeer(Peer peer) {
        List.copyOf(waiting.values()).stream()
                .filter(attempt -> attempt.peer().equals(peer))
                .forEach(attempt -> cancel(attempt.id()));
        streams.all().stream().filter(attempt -> attempt.peer().equals(peer)).forEach(streams::stop);
        startNext();
    }

    void respondToProbe(Peer peer, Message.Probe probe, BackendState backend, boolean leaving) {
        boolean sameWeights = backend.isUp() && probe.weightsDigest().equals(backend.weightsDigest());
        int cached = sameWeights ? index.matchedBlocks(probe.shortDigests()) : 0;
        int pending = sameWeights ? pendingBlocks(probe.shortDigests(), cached) : 0;
        peer.send(new Message.ProbeResponse(
                probe.id(), cached, pending, estimatedWaitMicros(), backend.incarnation(), leaving));
    }

    // -- commands: from the engine

    void handleEvents(ModelAttempt attempt, List<CompletionEvent> events) {
        streams.handleEvents(attempt, events, nanoTime.getAsLong());
        startNext();
    }

    void handleFailure(ModelAttempt attempt, Refusal refusal) {
        streams.handleFailure(attempt, refusal);
        startNext();
    }

    void applyCacheEvent(CacheEvent event) {
        index.apply(event);
    }

    /** Refuses all waiting requests, because the engine that they were submitted for has changed or is about to. */
    void refuseWaiting(Refusal refusal) {
        perform(queue.refuseAll(refusal));
    }

    void tick() {
        long nowNanos = nanoTime.getAsLong();
        perform(queue.refuseExpired(nowNanos));
        streams.checkProgress(nowNanos);
        startNext();
    }

    // -- commands: progress of running attempts

    @Override
    public void started(ModelAttempt attempt, CompletionEvent.Started started) {
        int blockCount = attempt.submit().blocks().size();
        index.applyResponse(started.incarnation(), attempt.submit().blocks(), started.cachedBlocks());
        queue.recordPrefillStart(attempt.id(), started.cachedBlocks(), nanoTime.getAsLong());
        metrics.recordBlocks(started.cachedBlocks(), blockCount - started.cachedBlocks());
    }

    @Override
    public void prefilled(ModelAttempt attempt) {
        List<Block> blocks = attempt.submit().blocks();
        index.applyResponse(index.incarnation(), blocks, blocks.size());
        queue.recordPrefillEnd(attempt.id(), nanoTime.getAsLong());
    }

    @Override
    public void ended(ModelAttempt attempt) {
        int tokens = attempt.window().nextOffset() - attempt.submit().resumeOffset();
        queue.recordCompletion(attempt.id(), tokens, nanoTime.getAsLong());
    }

    @Override
    public void stopped(ModelAttempt attempt) {
        queue.remove(attempt.id());
    }

    @Override
    public void refused(ModelAttempt attempt, Refusal refusal) {
        metrics.reasonCounters().countRefusal(refusal.reason());
        LogEvent.of("attempt_refused")
                .with("request", attempt.id().requestId())
                .with("attempt", attempt.id().number())
                .with("reason", refusal.reason().label())
                .with("verdict", refusal.verdict().label())
                .info();
        attempt.peer().send(new Message.Refused(attempt.id(), refusal));
    }

    // -- queries

    int waiting() {
        return waiting.size();
    }

    int running() {
        return streams.size();
    }

    CacheIndex index() {
        return index;
    }

    long estimatedWaitMicros() {
        return TimeUnit.NANOSECONDS.toMicros(queue.estimatedWaitNanos(nanoTime.getAsLong()));
    }

    private Optional<Refusal> checkSubmit(Message.Submit submit, BackendState backend) {
        if (!backend.isUp()) {
            return Optional.of(Refusal.notRun(Reason.NO_BACKEND, "the engine does not answer"));
        }
        if (submit.expectedIncarnation() != 0 && submit.expectedIncarnation() != backend.incarnation()) {
            return Optional.of(Refusal.notRun(Reason.STALE_INCARNATION, "the engine restarted since it was chosen"));
        }
        if (!submit.scope().weightsDigest().equals(backend.weightsDigest())) {
            return Optional.of(Refusal.notRun(Reason.WRONG_WEIGHTS, "the engine holds other weights"));
        }
        boolean alreadySubmitted =
                waiting.containsKey(submit.id()) || streams.find(submit.id()).isPresent();
        return alreadySubmitted
                ? Optional.of(Refusal.notRun(Reason.MALFORMED_REQUEST, "the attempt was submitted before"))
                : Optional.empty();
    }

    /** Returns how many leading blocks are cached or being computed by a running prefill. */
    private int pendingBlocks(List<Long> shortDigests, int cached) {
        Set<Long> pendingDigests = queue.pendingShortDigests();
        int pending = cached;
        while (pending < shortDigests.size() && pendingDigests.contains(shortDigests.get(pending))) {
            pending++;
        }
        return pending;
    }

    // -- admission

    /** Runs all waiting requests that the engine can accept now. */
    private void startNext() {
        perform(queue.forwardNext(index, nanoTime.getAsLong()));
    }

    private void perform(List<AdmissionAction> actions) {
        actions.forEach(this::perform);
    }

    /** Runs a waiting request at the engine, or refuses it. */
    private void perform(AdmissionAction action) {
        ModelAttempt attempt = waiting.remove(action.id());
        if (action instanceof AdmissionAction.Refuse refuse) {
            refused(attempt, refuse.refusal());
        } else {
            metrics.recordQueueWait(attempt.queueTimeNanos(nanoTime.getAsLong()));
            streams.run(attempt, nanoTime.getAsLong());
        }
    }
}
