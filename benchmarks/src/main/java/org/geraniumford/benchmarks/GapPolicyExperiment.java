package org.geraniumford.benchmarks;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.geraniumford.core.cache.CacheEvent;
import org.geraniumford.core.cache.CacheIndex;
import org.geraniumford.core.cache.CacheSnapshot;
import org.geraniumford.core.cache.GapPolicy;
import org.geraniumford.core.prefix.Piece;
import org.geraniumford.core.prefix.PieceKey;

/**
 * Compares the gap policies of the cache index on one seeded run of requests against an engine whose events are lost.
 * For each policy, loss and seed it prints the share of the engine's leading cached pieces that the index claimed, the
 * share of claimed pieces that the engine did not hold, and how many claims gaps made void.
 */
public final class GapPolicyExperiment {
    private static final int REQUESTS = 40_000;
    private static final int CAPACITY = 4_000;
    private static final int PREFIXES = 700;
    private static final int DEPTH = 12;
    private static final int SHARED_DEPTH = 8;
    private static final int EVENT_DELAY = 5;
    private static final int READ_EVERY = 2_000;
    private static final int PIECE_TOKENS = 4_000;
    private static final double SKEW = 2.0;
    private static final double[] LOSSES = {0.01, 0.1, 0.5};
    private static final int SEEDS = 5;

    private final CacheIndex index;
    private final Random random;
    private final double loss;
    private final Map<PieceKey, Boolean> engine = new LinkedHashMap<>(16, 0.75f, true);
    private final List<CacheEvent> delayed = new ArrayList<>();
    private final boolean reads;
    private long sequence;
    private long held;
    private long claimed;
    private long wrong;

    private GapPolicyExperiment(GapPolicy policy, double loss, long seed, boolean reads) {
        this.index = CacheIndex.of(policy);
        this.random = new Random(seed);
        this.loss = loss;
        this.reads = reads;
    }

    /**
     * Runs all combinations and prints a table.
     *
     * @param arguments none
     */
    public static void main(String[] arguments) {
        StringBuilder table = new StringBuilder("policy loss reread seeds kept% (min-max) wrong% (min-max)\n");
        for (boolean reads : new boolean[] {false, true}) {
            for (double loss : LOSSES) {
                Arrays.stream(GapPolicy.values()).forEach(policy -> table.append(row(policy, loss, reads)));
            }
        }
        PrintStream out = new PrintStream(new FileOutputStream(FileDescriptor.out), true, StandardCharsets.UTF_8);
        out.print(table);
    }

    private static String row(GapPolicy policy, double loss, boolean reads) {
        List<GapPolicyExperiment> runs = IntStream.range(0, SEEDS)
                .mapToObj(seed -> new GapPolicyExperiment(policy, loss, seed, reads))
                .toList();
        runs.forEach(GapPolicyExperiment::run);
        double[] kept = runs.stream()
                .mapToDouble(run -> 100.0 * (run.claimed - run.wrong) / run.held)
                .sorted()
                .toArray();
        double[] wrong = runs.stream()
                .mapToDouble(run -> 100.0 * run.wrong / Math.max(1, run.claimed))
                .sorted()
                .toArray();
        return String.format(
                Locale.ROOT,
                "%s %.2f %s %d %s %s%n",
                policy,
                loss,
                reads ? "yes" : "no",
                SEEDS,
                spread(kept),
                spread(wrong));
    }

    private static String spread(double[] sorted) {
        return String.format(
                Locale.ROOT, "%.2f (%.2f-%.2f)", sorted[sorted.length / 2], sorted[0], sorted[sorted.length - 1]);
    }

    private void run() {
        index.incarnation(1);
        for (int i = 0; i < REQUESTS; i++) {
            if (reads && i % READ_EVERY == 0 && index.incomplete()) {
                index.replace(new CacheSnapshot(1, sequence, List.copyOf(engine.keySet())));
            }
            probe(prompt());
            request(prompt());
        }
    }

    private List<Piece> prompt() {
        int prefix = (int) (PREFIXES * Math.pow(random.nextDouble(), SKEW));
        long question = random.nextLong();
        return IntStream.range(0, DEPTH)
                .mapToObj(i -> new PieceKey(i < SHARED_DEPTH ? prefix * 100L + i : question + i, i))
                .map(key -> new Piece(key, PIECE_TOKENS))
                .toList();
    }

    /** Compares the answer to a probe with the engine's cache; the request then goes elsewhere. */
    private void probe(List<Piece> pieces) {
        int hit = hits(pieces);
        int claim = index.cachedPieces(pieces);
        held += hit;
        claimed += claim;
        wrong += Math.max(0, claim - hit);
    }

    private int hits(List<Piece> pieces) {
        return (int) pieces.stream()
                .takeWhile(piece -> engine.containsKey(piece.key()))
                .count();
    }

    private void request(List<Piece> pieces) {
        int hit = hits(pieces);
        pieces.stream().limit(hit).forEach(piece -> engine.get(piece.key()));
        index.observe(1, pieces, hit);
        List<PieceKey> stored = pieces.stream().skip(hit).map(Piece::key).toList();
        stored.forEach(key -> engine.put(key, true));
        publish(CacheEvent.Kind.STORED, stored);
        List<PieceKey> evicted = engine.keySet().stream()
                .limit(Math.max(0, engine.size() - CAPACITY))
                .toList();
        evicted.forEach(engine::remove);
        publish(CacheEvent.Kind.EVICTED, evicted);
        while (delayed.size() > EVENT_DELAY) {
            index.apply(delayed.remove(0));
        }
    }

    private void publish(CacheEvent.Kind kind, List<PieceKey> keys) {
        if (keys.isEmpty()) {
            return;
        }
        sequence++;
        if (random.nextDouble() >= loss) {
            delayed.add(new CacheEvent(1, sequence, kind, keys));
        }
    }
}
