package org.geraniumford.daemon.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.geraniumford.core.prefix.BlockKey;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a bound that differs from the misses of one LRU cache. In the examples each letter stands for a block
 * and each word for a request.
 */
class OfflineBoundTest {
    @ParameterizedTest
    @CsvSource({
        "'',           4, 0, 0",
        "ab ab ab,     4, 6, 2",
        "ab ac ad ab,  4, 8, 4",
        "ab ac ad ab,  3, 8, 5",
        "a b c a b c,  2, 6, 6",
        "a b c a b c,  3, 6, 3",
    })
    void shouldRecomputeABlockOnlyWhenOtherBlocksFilledTheCapacitySinceItsLastUse(
            String requests, int capacityBlocks, long requestedBlocks, long computedBlocks) {
        List<List<BlockKey>> keys = List.of(requests.split(" ")).stream()
                .map(request -> request.chars()
                        .mapToObj(letter -> new BlockKey(0, letter))
                        .toList())
                .toList();
        assertThat(OfflineBound.of(keys, capacityBlocks)).isEqualTo(new OfflineBound(requestedBlocks, computedBlocks));
    }

    @Property(tries = 200, seed = "7")
    void shouldEqualTheMissesOfOneLruCacheWhenUsesAreRandom(
            @ForAll @Size(max = 120) List<@IntRange(max = 12) Integer> uses,
            @ForAll @IntRange(min = 1, max = 12) int capacityBlocks) {
        List<List<BlockKey>> keys =
                List.of(uses.stream().map(use -> new BlockKey(0, use)).toList());
        assertThat(OfflineBound.of(keys, capacityBlocks).computedPieces()).isEqualTo(countMisses(uses, capacityBlocks));
    }

    private static long countMisses(List<Integer> uses, int capacityBlocks) {
        Set<Integer> cache = new LinkedHashSet<>();
        List<Integer> misses = new ArrayList<>();
        for (Integer use : uses) {
            if (!cache.remove(use)) {
                misses.add(use);
            }
            cache.add(use);
            if (cache.size() > capacityBlocks) {
                cache.remove(cache.iterator().next());
            }
        }
        return misses.size();
    }
}
