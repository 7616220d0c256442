package org.geraniumford.core.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.geraniumford.core.cache.CacheView;
import org.geraniumford.core.prefix.Block;
import org.geraniumford.core.prefix.BlockKey;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.wire.AttemptId;

/**
 * An engine on a virtual clock, behind an admission queue. It prefills one request at a time; decoding takes no time.
 */
final class SimulatedEngine {
    static final long NANOS_PER_TOKEN = 50_000;
    static final int BLOCK_TOKENS = 1_000;
    static final long BLOCK_NANOS = BLOCK_TOKENS * NANOS_PER_TOKEN;

    final AdmissionQueue queue;
    final Map<AttemptId, Long> arrivalNanos = new HashMap<>();
    final Map<AttemptId, Long> firstTokenNanos = new HashMap<>();
    final Map<AttemptId, Refusal> refused = new HashMap<>();
    final List<AttemptId> forwarded = new ArrayList<>();
    final Set<BlockKey> cachedKeys = new HashSet<>();
    private final Map<AttemptId, AdmissionRequest> requests = new HashMap<>();
    private final Deque<AttemptId> prefillQueue = new ArrayDeque<>();
    long computedBlocks;
    long nowNanos;
    /** When the running prefill ends; {@link Long#MAX_VALUE} if none is running. */
    private long prefillEndNanos = Long.MAX_VALUE;

    SimulatedEngine(AdmissionLimits limits) {
        queue = AdmissionQueue.of(limits, EngineCostModel.of(NANOS_PER_TOKEN, 1_000_000, 1));
    }

    CacheView view() {
        return this::cachedBlocks;
    }

    void offer(AdmissionRequest request) {
        requests.put(request.id(), request);
        arrivalNanos.put(request.id(), nowNanos);
        perform(queue.offer(request, view(), nowNanos));
        startNext();
    }

    /** Advances the clock, ends the prefills that are due and refuses the requests that have expired. */
    void runUntil(long timeNanos) {
        while (prefillEndNanos <= timeNanos) {
            nowNanos = prefillEndNanos;
            endPrefill();
        }
        nowNanos = timeNanos;
        perform(queue.refuseExpired(nowNanos));
        startNext();
    }

    void runUntilIdle() {
        while (!prefillQueue.isEmpty() || queue.waiting() > 0) {
            runUntil(Math.min(prefillEndNanos, nowNanos + BLOCK_NANOS));
        }
    }

    long nanosToFirstToken(AttemptId id) {
        return firstTokenNanos.get(id) - arrivalNanos.get(id);
    }

    private void startNext() {
        perform(queue.forwardNext(view(), nowNanos));
    }

    private void perform(List<AdmissionAction> actions) {
        actions.forEach(action -> {
            if (action instanceof AdmissionAction.Refuse refuse) {
                refused.put(action.id(), refuse.refusal());
            } else {
                forwarded.add(action.id());
                prefillQueue.add(action.id());
                beginPrefill();
            }
        });
    }

    private void beginPrefill() {
        if (prefillEndNanos == Long.MAX_VALUE && !prefillQueue.isEmpty()) {
            AdmissionRequest next = requests.get(prefillQueue.peek());
            int cachedBlocks = cachedBlocks(next.blocks());
            queue.recordPrefillStart(next.id(), cachedBlocks, nowNanos);
            computedBlocks += next.blocks().size() - cachedBlocks;
            prefillEndNanos = nowNanos + Math.max(1, next.uncachedTokens(cachedBlocks) * NANOS_PER_TOKEN);
        }
    }

    private void endPrefill() {
        AttemptId id = prefillQueue.poll();
        requests.get(id).blocks().forEach(block -> cachedKeys.add(block.key()));
        firstTokenNanos.put(id, nowNanos);
        prefillEndNanos = Long.MAX_VALUE;
        queue.recordPrefillEnd(id, nowNanos);
        queue.recordCompletion(id, 1, nowNanos);
        startNext();
        beginPrefill();
    }

    private int cachedBlocks(List<Block> blocks) {
        return (int) blocks.stream()
                .takeWhile(block -> cachedKeys.contains(block.key()))
                .count();
    }

    /**
     * Returns {@code count} blocks. The keys of the first {@code sharedCount} belong to the shared prefix, those of the
     * others to the request's own suffix.
     */
    static List<Block> blocks(long sharedPrefix, int sharedCount, long ownSuffix, int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> new Block(new BlockKey(i < sharedCount ? sharedPrefix : ownSuffix, i), BLOCK_TOKENS))
                .toList();
    }
}
