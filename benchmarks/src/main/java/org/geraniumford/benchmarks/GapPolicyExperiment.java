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
import org.geraniumford.core.prefix.Block;
import org.geraniumford.core.prefix.BlockKey;

/**
 * Compares the gap policies of the cache index on one seeded run of requests against an engine whose events are lost.
 * For each policy, loss and seed it prints the share of the engine's leading cached pieces that the index claimed, the
 * share of claimed pieces that the engine did not hold, and how many claims gaps made void.
 */
public final class GapPolicyExperiment {
    private static final int REQUESTS = 40_000;
    private static final int CAPACITY_BLOCKS = 4_000;
    private static final int PREFIXES = 700;
    private static final int PROMPT_BLOCKS = 12;
    private static final int SHARED_BLOCKS = 8;
    private static final int MAX_DELAYED_EVENTS = 5;
    private static final int SNAPSHOT_INTERVAL_REQUESTS = 2_000;
    private static final int BLOCK_TOKENS = 4_000;
    private static final double PREFIX_SKEW = 2.0;
    private static final double[] LOSS_FRACTIONS = {0.01, 0.1, 0.5};
    private static final int SEEDS = 5;

    private final CacheIndex index;
    private final Random random;
    private final double lossFraction;
    private final Map<BlockKey, Boolean> engineCache = new LinkedHashMap<>(16, 0.75f, true);
    private final List<CacheEvent> delayedEvents = new ArrayList<>();
    private final boolean readsSnapshots;
    private long sequence;
    private long heldBlocks;
    private long claimedBlocks;
    private long wronglyClaimedBlocks;

    private GapPolicyExperiment(GapPolicy policy, double loss, long seed, boolean reads) {
        this.index = CacheIndex.of(policy);
        this.random = new Random(seed);
        this.lossFraction = loss;
        this.readsSnapshots = reads;
    }

    /**
     * Runs all combinations and prints a table.
     *
     * @param arguments none
     */
    public static void main(String[] arguments) {
        StringBuilder table = new StringBuilder("policy loss reread seeds kept% (min-max) wrong% (min-max)\n");
        for (boolean reads : new boolean[] {false, true}) {
            for (double loss : LOSS_FRACTIONS) {
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
                .mapToDouble(run -> 100.0 * (run.claimedBlocks - run.wronglyClaimedBlocks) / run.heldBlocks)
                .sorted()
                .toArray();
        double[] wrong = runs.stream()
                .mapToDouble(run -> 100.0 * run.wronglyClaimedBlocks / Math.max(1, run.claimedBlocks))
                .sorted()
                .toArray();
        return String.format(
                Locale.ROOT,
                "%s %.2f %s %d %s %s%n",
                policy,
                loss,
                reads ? "yes" : "no",
                SEEDS,
                medianAndRange(kept),
                medianAndRange(wrong));
    }

    private static String medianAndRange(double[] sorted) {
        return String.format(
                Locale.ROOT, "%.2f (%.2f-%.2f)", sorted[sorted.length / 2], sorted[0], sorted[sorted.length - 1]);
    }

    private void run() {
        index.observeIncarnation(1);
        for (int i = 0; i < REQUESTS; i++) {
            if (readsSnapshots && i % SNAPSHOT_INTERVAL_REQUESTS == 0 && index.isIncomplete()) {
                index.replace(new CacheSnapshot(1, sequence, List.copyOf(engineCache.keySet())));
            }
            recordProbe(randomPrompt());
            runRequest(randomPrompt());
        }
    }

    private List<Block> randomPrompt() {
        int prefix = (int) (PREFIXES * Math.pow(random.nextDouble(), PREFIX_SKEW));
        long question = random.nextLong();
        return IntStream.range(0, PROMPT_BLOCKS)
                .mapToObj(i -> new BlockKey(i < SHARED_BLOCKS ? prefix * 100L + i : question + i, i))
                .map(key -> new Block(key, BLOCK_TOKENS))
                .toList();
    }

    /** Compares the answer to a probe with the engine's cache; the request then goes elsewhere. */
    private void recordProbe(List<Block> pieces) {
        int hit = leadingHits(pieces);
        int claim = index.cachedBlocks(pieces);
        heldBlocks += hit;
        claimedBlocks += claim;
        wronglyClaimedBlocks += Math.max(0, claim - hit);
    }

    private int leadingHits(List<Block> pieces) {
        return (int) pieces.stream()
                .takeWhile(piece -> engineCache.containsKey(piece.key()))
                .count();
    }

    private void runRequest(List<Block> pieces) {
        int hit = leadingHits(pieces);
        pieces.stream().limit(hit).forEach(piece -> engineCache.get(piece.key()));
        index.observe(1, pieces, hit);
        List<BlockKey> stored = pieces.stream().skip(hit).map(Block::key).toList();
        stored.forEach(key -> engineCache.put(key, true));
        publish(CacheEvent.Kind.STORED, stored);
        List<BlockKey> evicted = engineCache.keySet().stream()
                .limit(Math.max(0, engineCache.size() - CAPACITY_BLOCKS))
                .toList();
        evicted.forEach(engineCache::remove);
        publish(CacheEvent.Kind.EVICTED, evicted);
        while (delayedEvents.size() > MAX_DELAYED_EVENTS) {
            index.apply(delayedEvents.remove(0));
        }
    }

    private void publish(CacheEvent.Kind kind, List<BlockKey> keys) {
        if (keys.isEmpty()) {
            return;
        }
        sequence++;
        if (random.nextDouble() >= lossFraction) {
            delayedEvents.add(new CacheEvent(1, sequence, kind, keys));
        }
    }
}
