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
 * Compares the gap policies of the cache index on seeded requests to a simulated engine that loses some of its cache
 * events. For each policy and fraction of lost events, with and without snapshots, it prints the median and the range
 * over the seeds of two percentages: {@code kept%}, the percentage of the engine's leading cached blocks that the index
 * claimed, and {@code wrong%}, the percentage of the claimed blocks that the engine had not cached.
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
    /**
     * The exponent of the uniform random number that selects a prefix; above 1, small prefix numbers are more frequent.
     */
    private static final double PREFIX_SKEW = 2.0;

    private static final double[] LOSS_FRACTIONS = {0.01, 0.1, 0.5};
    private static final int SEEDS = 5;

    private final CacheIndex index;
    private final Random random;
    private final double lossFraction;
    /** The engine's cached blocks, the least recently used first; the values have no meaning. */
    private final Map<BlockKey, Boolean> engineCache = new LinkedHashMap<>(16, 0.75f, true);

    private final List<CacheEvent> delayedEvents = new ArrayList<>();
    private final boolean readsSnapshots;
    private long sequence;
    private long engineHitBlocks;
    private long claimedBlocks;
    private long wronglyClaimedBlocks;

    private GapPolicyExperiment(GapPolicy policy, double lossFraction, long seed, boolean readsSnapshots) {
        this.index = CacheIndex.of(policy);
        this.random = new Random(seed);
        this.lossFraction = lossFraction;
        this.readsSnapshots = readsSnapshots;
    }

    /**
     * Runs every combination of policy, loss and use of snapshots, and prints a table.
     *
     * @param arguments not used
     */
    public static void main(String[] arguments) {
        StringBuilder table = new StringBuilder("policy loss reread seeds kept% (min-max) wrong% (min-max)\n");
        for (boolean readsSnapshots : new boolean[] {false, true}) {
            for (double lossFraction : LOSS_FRACTIONS) {
                Arrays.stream(GapPolicy.values())
                        .forEach(policy -> table.append(row(policy, lossFraction, readsSnapshots)));
            }
        }
        PrintStream out = new PrintStream(new FileOutputStream(FileDescriptor.out), true, StandardCharsets.UTF_8);
        out.print(table);
    }

    private static String row(GapPolicy policy, double lossFraction, boolean readsSnapshots) {
        List<GapPolicyExperiment> runs = IntStream.range(0, SEEDS)
                .mapToObj(seed -> new GapPolicyExperiment(policy, lossFraction, seed, readsSnapshots))
                .toList();
        runs.forEach(GapPolicyExperiment::run);
        double[] keptPercents = runs.stream()
                .mapToDouble(run -> 100.0 * (run.claimedBlocks - run.wronglyClaimedBlocks) / run.engineHitBlocks)
                .sorted()
                .toArray();
        double[] wrongPercents = runs.stream()
                .mapToDouble(run -> 100.0 * run.wronglyClaimedBlocks / Math.max(1, run.claimedBlocks))
                .sorted()
                .toArray();
        return String.format(
                Locale.ROOT,
                "%s %.2f %s %d %s %s%n",
                policy,
                lossFraction,
                readsSnapshots ? "yes" : "no",
                SEEDS,
                medianAndRange(keptPercents),
                medianAndRange(wrongPercents));
    }

    private static String medianAndRange(double[] sortedValues) {
        return String.format(
                Locale.ROOT,
                "%.2f (%.2f-%.2f)",
                sortedValues[sortedValues.length / 2],
                sortedValues[0],
                sortedValues[sortedValues.length - 1]);
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

    /** Returns a prompt with a random prefix, which other prompts share, and a random question, which none shares. */
    private List<Block> randomPrompt() {
        int prefixNumber = (int) (PREFIXES * Math.pow(random.nextDouble(), PREFIX_SKEW));
        long questionNumber = random.nextLong();
        return IntStream.range(0, PROMPT_BLOCKS)
                .mapToObj(i -> new BlockKey(i < SHARED_BLOCKS ? prefixNumber * 100L + i : questionNumber + i, i))
                .map(key -> new Block(key, BLOCK_TOKENS))
                .toList();
    }

    /** Compares the index's response to a probe with the engine's cache. The engine does not run the probed prompt. */
    private void recordProbe(List<Block> blocks) {
        int hits = leadingHits(blocks);
        int claims = index.cachedBlocks(blocks);
        engineHitBlocks += hits;
        claimedBlocks += claims;
        wronglyClaimedBlocks += Math.max(0, claims - hits);
    }

    private int leadingHits(List<Block> blocks) {
        return (int) blocks.stream()
                .takeWhile(block -> engineCache.containsKey(block.key()))
                .count();
    }

    /** Runs a prompt on the simulated engine, and updates the index from the response and the cache events. */
    private void runRequest(List<Block> blocks) {
        int hits = leadingHits(blocks);
        // Marks the hit blocks as recently used: the map is ordered by access.
        blocks.stream().limit(hits).forEach(block -> engineCache.get(block.key()));
        index.applyResponse(1, blocks, hits);
        List<BlockKey> storedKeys = blocks.stream().skip(hits).map(Block::key).toList();
        storedKeys.forEach(key -> engineCache.put(key, true));
        publish(CacheEvent.Kind.STORED, storedKeys);
        List<BlockKey> evictedKeys = engineCache.keySet().stream()
                .limit(Math.max(0, engineCache.size() - CAPACITY_BLOCKS))
                .toList();
        evictedKeys.forEach(engineCache::remove);
        publish(CacheEvent.Kind.EVICTED, evictedKeys);
        while (delayedEvents.size() > MAX_DELAYED_EVENTS) {
            index.apply(delayedEvents.remove(0));
        }
    }

    /**
     * Adds a cache event to the delayed events unless it is lost. A lost event also takes a sequence number, so that
     * the index can detect the gap.
     */
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
