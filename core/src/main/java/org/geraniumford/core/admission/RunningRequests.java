package org.geraniumford.core.admission;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.geraniumford.core.prefix.Piece;
import org.geraniumford.core.prefix.PieceKey;
import org.geraniumford.core.wire.AttemptId;

/** The requests that the engine holds. */
final class RunningRequests {
    private final Map<AttemptId, Run> runs = new LinkedHashMap<>();
    private int prefills;

    // -- commands

    void pass(AdmissionRequest request, int cachedPieces, long now) {
        prefills++;
        runs.put(request.id(), Run.of(request, cachedPieces, prefills, now));
    }

    void started(AttemptId id, int cachedPieces, long now) {
        runs.computeIfPresent(id, (key, run) -> run.started(cachedPieces, now));
    }

    /** Ends a prefill and returns what ran, if it had not ended before. */
    Optional<Run> prefilled(AttemptId id, long now) {
        Optional<Run> run = Optional.ofNullable(runs.get(id)).filter(Run::inPrefill);
        run.ifPresent(ended -> {
            prefills--;
            runs.put(id, ended.prefilled(now));
        });
        return run;
    }

    Optional<Run> remove(AttemptId id) {
        Optional<Run> run = Optional.ofNullable(runs.remove(id));
        run.filter(Run::inPrefill).ifPresent(ended -> prefills--);
        return run;
    }

    // -- queries

    int size() {
        return runs.size();
    }

    int prefills() {
        return prefills;
    }

    boolean computes(PieceKey key) {
        return inPrefill().anyMatch(run -> run.missed().contains(key));
    }

    Set<Long> computedShortDigests() {
        return inPrefill()
                .flatMap(run -> run.missed().stream())
                .map(PieceKey::shortDigest)
                .collect(Collectors.toSet());
    }

    long remainingPrefillNanos(CostModel costs, long now) {
        return inPrefill().mapToLong(run -> run.remainingNanos(costs, now)).sum();
    }

    private Stream<Run> inPrefill() {
        return prefills == 0 ? Stream.empty() : runs.values().stream().filter(Run::inPrefill);
    }

    /**
     * A request that the engine holds.
     *
     * @param request the request
     * @param missed the keys of the pieces to compute
     * @param missedTokens the tokens of these pieces
     * @param sharers how many requests were in prefill when it was passed on, itself included
     * @param passedNanos when it was passed on
     * @param startedNanos when its prefill began; 0 before
     * @param prefilledNanos when its first token came; 0 before
     */
    record Run(
            AdmissionRequest request,
            Set<PieceKey> missed,
            long missedTokens,
            int sharers,
            long passedNanos,
            long startedNanos,
            long prefilledNanos) {
        static Run of(AdmissionRequest request, int cachedPieces, int sharers, long now) {
            return new Run(
                    request,
                    missedKeys(request.pieces(), cachedPieces),
                    request.missedTokens(cachedPieces),
                    sharers,
                    now,
                    0,
                    0);
        }

        private static Set<PieceKey> missedKeys(List<Piece> pieces, int cachedPieces) {
            return pieces.stream().skip(cachedPieces).map(Piece::key).collect(Collectors.toCollection(HashSet::new));
        }

        Run started(int cachedPieces, long now) {
            return new Run(
                    request,
                    missedKeys(request.pieces(), cachedPieces),
                    request.missedTokens(cachedPieces),
                    sharers,
                    passedNanos,
                    now,
                    0);
        }

        Run prefilled(long now) {
            return new Run(request, Set.of(), missedTokens, sharers, passedNanos, startedNanos, now);
        }

        boolean inPrefill() {
            return prefilledNanos == 0;
        }

        private long remainingNanos(CostModel costs, long now) {
            long since = startedNanos == 0 ? now : startedNanos;
            return Math.max(0, costs.prefillNanos(missedTokens) - (now - since));
        }
    }
}
