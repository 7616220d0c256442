package org.geraniumford.benchmarks;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.geraniumford.core.prefix.CacheScope;
import org.geraniumford.core.prefix.PrefixChain;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;

/** Measures how long it takes to compute the block keys of a prompt of 64 blocks. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class PrefixChainBenchmark {
    private static final int BLOCKS = 64;
    private static final int BLOCK_TOKENS = 4000;

    private final CacheScope scope = new CacheScope("amahoro", "weights-1", "");
    // Each level repeats a text of 8 or 9 bytes once for every 10 bytes of a block, so it becomes one, shorter block.
    private final List<String> levels = IntStream.range(0, BLOCKS)
            .mapToObj(i -> ("level " + i + " ").repeat(BLOCK_TOKENS * PrefixChain.BYTES_PER_TOKEN / 10))
            .toList();

    /**
     * Computes the chain of keys of all blocks of the prompt.
     *
     * @return the chain; returned so that the JIT compiler does not eliminate the computation
     */
    @Benchmark
    public PrefixChain chainOf64Blocks() {
        return PrefixChain.of(scope, levels, BLOCK_TOKENS);
    }
}
