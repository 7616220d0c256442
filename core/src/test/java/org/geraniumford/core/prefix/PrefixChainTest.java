package org.geraniumford.core.prefix;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.NotEmpty;
import org.junit.jupiter.api.Test;

final class PrefixChainTest {
    private static final CacheScope SCOPE = new CacheScope("amahoro", "weights-1", "");
    private static final int BLOCK_TOKENS = 4;

    // -- construction

    @Property(seed = "7", tries = 300)
    void shouldShareKeysOfSharedLevelsOnlyWhenScopesAreEqual(
            @ForAll @AlphaChars @NotEmpty String sharedLevel,
            @ForAll @AlphaChars @NotEmpty String lastLevel,
            @ForAll @IntRange(min = 1, max = 9) int blockTokens) {
        PrefixChain shared = PrefixChain.of(SCOPE, List.of(sharedLevel), blockTokens);
        PrefixChain whole = PrefixChain.of(SCOPE, List.of(sharedLevel, lastLevel), blockTokens);
        assertThat(whole.keys()).startsWith(shared.keys().toArray(BlockKey[]::new));
        assertThat(List.of(
                        new CacheScope("urumuri", "weights-1", ""),
                        new CacheScope("amahoro", "weights-2", ""),
                        new CacheScope("amahoro", "weights-1", "kinyarwanda"),
                        new CacheScope("amahoroweights-1", "", "")))
                .allSatisfy(other -> assertThat(PrefixChain.of(other, List.of(sharedLevel, lastLevel), blockTokens)
                                .keys())
                        .doesNotContainAnyElementsOf(whole.keys()));
    }

    @Test
    void shouldReturnNoBlocksWhenThePromptIsEmpty() {
        assertThat(PrefixChain.of(SCOPE, List.of("", ""), BLOCK_TOKENS).size()).isZero();
    }

    @Test
    void shouldSplitAtLevelEndsAndAtTheBlockSize() {
        PrefixChain chain = PrefixChain.of(SCOPE, List.of("a".repeat(20), "b".repeat(16)), BLOCK_TOKENS);
        assertThat(chain.blocks()).extracting(Block::tokens).containsExactly(4, 1, 4);
        assertThat(chain.tokens()).isEqualTo(9);
    }
}
