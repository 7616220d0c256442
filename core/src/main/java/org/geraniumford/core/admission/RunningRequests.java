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

/** The requests that the engine holds. */
final class RunningRequests {
    private final Map<AttemptId, RunningRequest> requests = new LinkedHashMap<>();
    private int prefills;

    // -- commands

    void add(AdmissionRequest request, int cachedPieces, long now) {
        prefills++;
        requests.put(request.id(), RunningRequest.of(request, cachedPieces, prefills, now));
    }

    void recordPrefillStart(AttemptId id, int cachedPieces, long now) {
        requests.computeIfPresent(id, (key, run) -> run.withPrefillStart(cachedPieces, now));
    }

    /** Ends a prefill and returns what ran, if it had not ended before. */
    Optional<RunningRequest> recordPrefillEnd(AttemptId id, long now) {
        Optional<RunningRequest> run = Optional.ofNullable(requests.get(id)).filter(RunningRequest::isPrefilling);
        run.ifPresent(ended -> {
            prefills--;
            requests.put(id, ended.withPrefillEnd(now));
        });
        return run;
    }

    Optional<RunningRequest> remove(AttemptId id) {
        Optional<RunningRequest> run = Optional.ofNullable(requests.remove(id));
        run.filter(RunningRequest::isPrefilling).ifPresent(ended -> prefills--);
        return run;
    }

    // -- queries

    int size() {
        return requests.size();
    }

    int prefills() {
        return prefills;
    }

    boolean isPending(BlockKey key) {
        return prefilling().anyMatch(run -> run.uncachedKeys().contains(key));
    }

    Set<Long> pendingShortDigests() {
        return prefilling()
                .flatMap(run -> run.uncachedKeys().stream())
                .map(BlockKey::shortDigest)
                .collect(Collectors.toSet());
    }

    long remainingPrefillNanos(EngineCostModel costs, long now) {
        return prefilling()
                .mapToLong(run -> run.remainingPrefillNanos(costs, now))
                .sum();
    }

    private Stream<RunningRequest> prefilling() {
        return prefills == 0 ? Stream.empty() : requests.values().stream().filter(RunningRequest::isPrefilling);
    }

    /**
     * A request that the engine holds.
     *
     * @param request the request
     * @param uncachedKeys the keys of the pieces to compute
     * @param uncachedTokens the tokens of these pieces
     * @param concurrentPrefills how many requests were in prefill when it was passed on, itself included
     * @param forwardedNanos when it was passed on
     * @param prefillStartNanos when its prefill began; 0 before
     * @param prefillEndNanos when its first token came; 0 before
     */
    record RunningRequest(
            AdmissionRequest request,
            Set<BlockKey> uncachedKeys,
            long uncachedTokens,
            int concurrentPrefills,
            long forwardedNanos,
            long prefillStartNanos,
            long prefillEndNanos) {
        static RunningRequest of(AdmissionRequest request, int cachedPieces, int sharers, long now) {
            return new RunningRequest(
                    request,
                    keysAfter(request.blocks(), cachedPieces),
                    request.uncachedTokens(cachedPieces),
                    sharers,
                    now,
                    0,
                    0);
        }

        private static Set<BlockKey> keysAfter(List<Block> pieces, int cachedPieces) {
            return pieces.stream().skip(cachedPieces).map(Block::key).collect(Collectors.toCollection(HashSet::new));
        }

        RunningRequest withPrefillStart(int cachedPieces, long now) {
            return new RunningRequest(
                    request,
                    keysAfter(request.blocks(), cachedPieces),
                    request.uncachedTokens(cachedPieces),
                    concurrentPrefills,
                    forwardedNanos,
                    now,
                    0);
        }

        RunningRequest withPrefillEnd(long now) {
            return new RunningRequest(
                    request, Set.of(), uncachedTokens, concurrentPrefills, forwardedNanos, prefillStartNanos, now);
        }

        boolean isPrefilling() {
            return prefillEndNanos == 0;
        }

        private long remainingPrefillNanos(EngineCostModel costs, long now) {
            long since = prefillStartNanos == 0 ? now : prefillStartNanos;
            return Math.max(0, costs.prefillNanos(uncachedTokens) - (now - since));
        }
    }
}
