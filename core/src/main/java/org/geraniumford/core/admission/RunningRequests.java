package org.geraniumford.core.admission;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.geraniumford.core.prefix.Block;
import org.geraniumford.core.prefix.BlockKey;
import org.geraniumford.core.wire.AttemptId;

/** The requests at the engine. */
final class RunningRequests {
    private final Map<AttemptId, RunningRequest> requests = new LinkedHashMap<>();
    private int prefills;

    // -- commands

    void add(AdmissionRequest request, int cachedBlocks, long nowNanos) {
        prefills++;
        requests.put(request.id(), RunningRequest.of(request, cachedBlocks, prefills, nowNanos));
    }

    void recordPrefillStart(AttemptId id, int cachedBlocks, long nowNanos) {
        requests.computeIfPresent(id, (key, request) -> request.withPrefillStart(cachedBlocks, nowNanos));
    }

    /** Ends a prefill and returns the request as it was before, or empty if it is not in prefill. */
    Optional<RunningRequest> recordPrefillEnd(AttemptId id, long nowNanos) {
        Optional<RunningRequest> request = Optional.ofNullable(requests.get(id)).filter(RunningRequest::isPrefilling);
        request.ifPresent(ended -> {
            prefills--;
            requests.put(id, ended.withPrefillEnd(nowNanos));
        });
        return request;
    }

    Optional<RunningRequest> remove(AttemptId id) {
        Optional<RunningRequest> request = Optional.ofNullable(requests.remove(id));
        request.filter(RunningRequest::isPrefilling).ifPresent(ended -> prefills--);
        return request;
    }

    // -- queries

    int size() {
        return requests.size();
    }

    int prefills() {
        return prefills;
    }

    /** Returns whether a request in prefill computes the block with a given key. */
    boolean isPending(BlockKey key) {
        return prefilling().anyMatch(request -> request.uncachedKeys().contains(key));
    }

    Set<Long> pendingShortDigests() {
        return prefilling()
                .flatMap(request -> request.uncachedKeys().stream())
                .map(BlockKey::shortDigest)
                .collect(Collectors.toSet());
    }

    long remainingPrefillNanos(EngineCostModel costs, long nowNanos) {
        return prefilling()
                .mapToLong(request -> request.remainingPrefillNanos(costs, nowNanos))
                .sum();
    }

    private Stream<RunningRequest> prefilling() {
        return prefills == 0 ? Stream.empty() : requests.values().stream().filter(RunningRequest::isPrefilling);
    }

    /**
     * A request at the engine. Times are in nanoseconds of a monotonic clock.
     *
     * @param request the request
     * @param uncachedKeys the keys of the blocks to compute; empty once the prefill has ended
     * @param uncachedTokens the number of tokens of the blocks to compute, kept when the prefill has ended
     * @param concurrentPrefills the number of requests in prefill when this one was forwarded, itself included
     * @param forwardedNanos when the request was forwarded
     * @param prefillStartNanos when its prefill started; 0 before
     * @param prefillEndNanos when its first output token arrived; 0 before
     */
    record RunningRequest(
            AdmissionRequest request,
            Set<BlockKey> uncachedKeys,
            long uncachedTokens,
            int concurrentPrefills,
            long forwardedNanos,
            long prefillStartNanos,
            long prefillEndNanos) {
        static RunningRequest of(AdmissionRequest request, int cachedBlocks, int concurrentPrefills, long nowNanos) {
            return new RunningRequest(
                    request,
                    keysAfter(request.blocks(), cachedBlocks),
                    request.uncachedTokens(cachedBlocks),
                    concurrentPrefills,
                    nowNanos,
                    0,
                    0);
        }

        private static Set<BlockKey> keysAfter(List<Block> blocks, int cachedBlocks) {
            return blocks.stream().skip(cachedBlocks).map(Block::key).collect(Collectors.toCollection(HashSet::new));
        }

        RunningRequest withPrefillStart(int cachedBlocks, long nowNanos) {
            return new RunningRequest(
                    request,
                    keysAfter(request.blocks(), cachedBlocks),
                    request.uncachedTokens(cachedBlocks),
                    concurrentPrefills,
                    forwardedNanos,
                    nowNanos,
                    0);
        }

        RunningRequest withPrefillEnd(long nowNanos) {
            return new RunningRequest(
                    request, Set.of(), uncachedTokens, concurrentPrefills, forwardedNanos, prefillStartNanos, nowNanos);
        }

        boolean isPrefilling() {
            return prefillEndNanos == 0;
        }

        private long remainingPrefillNanos(EngineCostModel costs, long nowNanos) {
            long startNanos = prefillStartNanos == 0 ? nowNanos : prefillStartNanos;
            return Math.max(0, costs.prefillNanos(uncachedTokens) - (nowNanos - startNanos));
        }
    }
}
