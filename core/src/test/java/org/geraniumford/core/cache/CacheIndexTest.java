package org.geraniumford.core.cache;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.geraniumford.core.cache.CacheEvent.Kind;
import org.geraniumford.core.prefix.Block;
import org.geraniumford.core.prefix.BlockKey;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class CacheIndexTest {
    private static final long OLD_INCARNATION = 10;
    private static final long NEW_INCARNATION = 20;

    // -- events

    @Test
    void shouldMatchLeadingBlocksWhenEventsStoreAndEvict() {
        CacheIndex index = CacheIndex.of(GapPolicy.VOID_AFFECTED);
        index.apply(event(OLD_INCARNATION, 1, Kind.STORED, 1, 2, 3));
        assertThat(index.matchedBlocks(List.of(1L, 2L, 3L, 4L))).isEqualTo(3);
        index.apply(event(OLD_INCARNATION, 2, Kind.EVICTED, 2));
        assertThat(index.matchedBlocks(List.of(1L, 2L, 3L))).isEqualTo(1);
        assertThat(index.cachedBlocks(blocks(3, 4))).isEqualTo(1);
    }

    @Test
    void shouldNotContainABlockWhenOnlyTheShortDigestMatches() {
        CacheIndex index = CacheIndex.of(GapPolicy.VOID_AFFECTED);
        index.apply(event(OLD_INCARNATION, 1, Kind.STORED, 1));
        assertThat(index.hasBlock(new BlockKey(1, 999))).isFalse();
    }

    // -- incarnations

    @Property(seed = "3", tries = 300)
    void shouldContainNoBlockOfAnOldIncarnationWhenMessagesArriveInAnyOrder(@ForAll long shuffleSeed) {
        List<Runnable> messages = new java.util.ArrayList<>();
        CacheIndex index = CacheIndex.of(GapPolicy.IGNORE);
        messages.add(() -> index.apply(event(OLD_INCARNATION, 1, Kind.STORED, 1, 2)));
        messages.add(() -> index.apply(event(OLD_INCARNATION, 2, Kind.STORED, 3)));
        messages.add(() -> index.applyResponse(OLD_INCARNATION, blocks(4), 1));
        messages.add(() -> index.replace(new CacheSnapshot(OLD_INCARNATION, 9, keys(5, 6))));
        messages.add(() -> index.apply(event(NEW_INCARNATION, 1, Kind.STORED, 7)));
        messages.add(() -> index.observeIncarnation(NEW_INCARNATION));
        Collections.shuffle(messages, new Random(shuffleSeed));
        messages.forEach(Runnable::run);
        assertThat(index.incarnation()).isEqualTo(NEW_INCARNATION);
        assertThat(IntStream.range(1, 7).anyMatch(i -> index.hasBlock(key(i)))).isFalse();
        assertThat(index.hasBlock(key(7))).isTrue();
        assertThat(index.size()).isEqualTo(1);
    }

    @Test
    void shouldCountAStaleEventWhenItsIncarnationIsOlder() {
        CacheIndex index = CacheIndex.of(GapPolicy.VOID_AFFECTED);
        index.observeIncarnation(NEW_INCARNATION);
        index.apply(event(OLD_INCARNATION, 1, Kind.STORED, 1));
        assertThat(index.counts().staleEvents()).isEqualTo(1);
    }

    // -- gaps

    @ParameterizedTest
    @CsvSource({"DROP_ALL, 1, 4", "IGNORE, 5, 0", "VOID_AFFECTED, 4, 1"})
    void shouldVoidClaimsByPolicyWhenOneEventIsMissing(GapPolicy policy, int remainingClaims, int voidedClaims) {
        CacheIndex index = CacheIndex.of(policy);
        index.apply(event(OLD_INCARNATION, 1, Kind.STORED, 1, 2, 8, 9));
        index.apply(event(OLD_INCARNATION, 2, Kind.EVICTED, 8, 9));
        index.apply(event(OLD_INCARNATION, 3, Kind.STORED, 3, 4));
        // The 3 events before the gap evicted 2 blocks and left 4 claims. VOID_AFFECTED rounds 2/3 of a claim up to 1.
        index.apply(event(OLD_INCARNATION, 5, Kind.STORED, 5));
        assertThat(index.size()).isEqualTo(remainingClaims);
        assertThat(index.counts().voidedClaims()).isEqualTo(voidedClaims);
        assertThat(index.isIncomplete()).isTrue();
    }

    @Test
    void shouldKeepRecentlyUsedClaimsWhenAGapVoidsTheOldest() {
        CacheIndex index = CacheIndex.of(GapPolicy.VOID_AFFECTED);
        index.apply(event(OLD_INCARNATION, 1, Kind.STORED, 1));
        index.apply(event(OLD_INCARNATION, 2, Kind.STORED, 2, 9));
        index.apply(event(OLD_INCARNATION, 3, Kind.EVICTED, 9));
        index.applyResponse(OLD_INCARNATION, blocks(1), 1);
        index.apply(event(OLD_INCARNATION, 5, Kind.STORED, 3));
        assertThat(index.hasBlock(key(1))).isTrue();
        assertThat(index.hasBlock(key(2))).isFalse();
    }

    @Test
    void shouldApplyALateEvictionButIgnoreALateStore() {
        CacheIndex index = CacheIndex.of(GapPolicy.IGNORE);
        index.apply(event(OLD_INCARNATION, 1, Kind.STORED, 1));
        index.apply(event(OLD_INCARNATION, 4, Kind.STORED, 2));
        index.apply(event(OLD_INCARNATION, 2, Kind.EVICTED, 1));
        index.apply(event(OLD_INCARNATION, 3, Kind.STORED, 3));
        assertThat(index.hasBlock(key(1))).isFalse();
        assertThat(index.hasBlock(key(3))).isFalse();
        assertThat(index.counts().lateEvents()).isEqualTo(2);
    }

    // -- responses and snapshots

    @Test
    void shouldDropWrongClaimsWhenTheEngineHadFewerBlocksCached() {
        CacheIndex index = CacheIndex.of(GapPolicy.IGNORE);
        index.apply(event(OLD_INCARNATION, 1, Kind.STORED, 1, 2, 3));
        index.applyResponse(OLD_INCARNATION, blocks(1, 2, 3), 1);
        assertThat(index.cachedBlocks(blocks(1, 2, 3))).isEqualTo(1);
        assertThat(index.counts().wrongClaims()).isEqualTo(2);
    }

    @Test
    void shouldReplaceClaimsWhenTheSnapshotIsNotOlderThanAppliedEvents() {
        CacheIndex index = CacheIndex.of(GapPolicy.IGNORE);
        index.apply(event(OLD_INCARNATION, 5, Kind.STORED, 1, 2));
        assertThat(index.replace(new CacheSnapshot(OLD_INCARNATION, 4, keys(9))))
                .isFalse();
        assertThat(index.replace(new CacheSnapshot(OLD_INCARNATION, 6, keys(2, 3))))
                .isTrue();
        assertThat(index.size()).isEqualTo(2);
        assertThat(index.hasBlock(key(1))).isFalse();
        assertThat(index.isIncomplete()).isFalse();
    }

    // -- helpers

    private static CacheEvent event(long incarnation, long sequence, Kind kind, int... keys) {
        return new CacheEvent(incarnation, sequence, kind, keys(keys));
    }

    private static List<BlockKey> keys(int... numbers) {
        return IntStream.of(numbers).mapToObj(CacheIndexTest::key).toList();
    }

    private static List<Block> blocks(int... numbers) {
        return IntStream.of(numbers).mapToObj(i -> new Block(key(i), 100)).toList();
    }

    private static BlockKey key(int number) {
        return new BlockKey(number, -number);
    }
}
