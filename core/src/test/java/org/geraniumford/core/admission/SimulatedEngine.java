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
import org.geraniumford.core.prefix.Piece;
import org.geraniumford.core.prefix.PieceKey;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.wire.AttemptId;

/** An engine on a virtual clock that prefills one request at a time, behind an admission queue. Answers are instant. */
final class SimulatedEngine {
    static final long NANOS_PER_TOKEN = 50_000;
    static final int PIECE_TOKENS = 1_000;
    static final long PIECE_NANOS = PIECE_TOKENS * NANOS_PER_TOKEN;

    final AdmissionQueue queue;
    final Map<AttemptId, Long> arrived = new HashMap<>();
    final Map<AttemptId, Long> firstToken = new HashMap<>();
    final Map<AttemptId, Refusal> refused = new HashMap<>();
    final List<AttemptId> order = new ArrayList<>();
    final Set<PieceKey> cached = new HashSet<>();
    private final Map<AttemptId, AdmissionRequest> requests = new HashMap<>();
    private final Deque<AttemptId> inEngine = new ArrayDeque<>();
    long computedPieces;
    long now;
    private long prefillEnd = Long.MAX_VALUE;

    SimulatedEngine(AdmissionLimits limits) {
        queue = AdmissionQueue.of(limits, CostModel.of(NANOS_PER_TOKEN, 1_000_000, 1));
    }

    CacheView view() {
        return this::cachedPieces;
    }

    void offer(AdmissionRequest request) {
        requests.put(request.id(), request);
        arrived.put(request.id(), now);
        perform(queue.offer(request, view(), now));
        startNext();
    }

    /** Lets time pass and does what falls due. */
    void runUntil(long time) {
        while (prefillEnd <= time) {
            now = prefillEnd;
            endPrefill();
        }
        now = time;
        perform(queue.expire(now));
        startNext();
    }

    void runUntilIdle() {
        while (!inEngine.isEmpty() || queue.waiting() > 0) {
            runUntil(Math.min(prefillEnd, now + PIECE_NANOS));
        }
    }

    long nanosToFirstToken(AttemptId id) {
        return firstToken.get(id) - arrived.get(id);
    }

    private void startNext() {
        perform(queue.start(view(), now));
    }

    private void perform(List<AdmissionAction> actions) {
        actions.forEach(action -> {
            if (action instanceof AdmissionAction.Refuse refuse) {
                refused.put(action.id(), refuse.refusal());
            } else {
                order.add(action.id());
                inEngine.add(action.id());
                beginPrefill();
            }
        });
    }

    private void beginPrefill() {
        if (prefillEnd == Long.MAX_VALUE && !inEngine.isEmpty()) {
            AdmissionRequest next = requests.get(inEngine.peek());
            int held = cachedPieces(next.pieces());
            queue.started(next.id(), held, now);
            computedPieces += next.pieces().size() - held;
            prefillEnd = now + Math.max(1, next.missedTokens(held) * NANOS_PER_TOKEN);
        }
    }

    private void endPrefill() {
        AttemptId id = inEngine.poll();
        requests.get(id).pieces().forEach(piece -> cached.add(piece.key()));
        firstToken.put(id, now);
        prefillEnd = Long.MAX_VALUE;
        queue.prefilled(id, now);
        queue.ended(id, 1, now);
        startNext();
        beginPrefill();
    }

    private int cachedPieces(List<Piece> pieces) {
        return (int)
                pieces.stream().takeWhile(piece -> cached.contains(piece.key())).count();
    }

    static List<Piece> pieces(long prefix, int shared, long own, int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> new Piece(new PieceKey(i < shared ? prefix : own, i), PIECE_TOKENS))
                .toList();
    }
}
