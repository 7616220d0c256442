package org.geraniumford.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.geraniumford.core.prefix.BlockKey;
import org.junit.jupiter.api.Test;

class BatchSchedulerTest {
    /** Prefill: 10 microseconds for each token. Decode step: 1,000, and 100 more for each running request. */
    private static final EngineTiming TIMING = new EngineTiming(10, 0, 1000, 100, 0, 0, 0, 0);

    private static final long BLOCK_PREFILL_MICROS = 10L * CompletionFixtures.BLOCK_TOKENS;

    /** The calls of the sinks and of the cache listener, in order. */
    private final List<String> recordedEvents = new ArrayList<>();

    private final CacheListener cacheListener = new CacheListener() {
        @Override
        public void stored(List<BlockKey> keys) {
            recordedEvents.add("stored " + keys.size());
        }

        @Override
        public void evicted(List<BlockKey> keys) {
            recordedEvents.add("evicted " + keys.size());
        }
    };
    private final BlockCache cache = new BlockCache(4, cacheListener);

    @Test
    void shouldPrefillOneRequestAtATimeByPriorityWhenRequestsArriveTogether() {
        BatchScheduler scheduler = scheduler(4, 10);
        scheduler.submit(CompletionFixtures.request("first", 0, 1, 2), new RecordingSink("first"), 0);
        scheduler.submit(CompletionFixtures.request("late", 1, 2, 2), new RecordingSink("late"), 0);
        scheduler.submit(CompletionFixtures.request("urgent", 2, 3, 0), new RecordingSink("urgent"), 0);
        scheduler.advance(BLOCK_PREFILL_MICROS - 1);
        assertThat(recordedEvents).containsExactly("first started 0");
        scheduler.advance(3 * BLOCK_PREFILL_MICROS);
        assertThat(recordedEvents.stream().filter(event -> event.contains("started")))
                .containsExactly("first started 0", "urgent started 0", "late started 0");
    }

    @Test
    void shouldSendOneTokenOfEachRequestPerDecodeStepWhenRequestsRunTogether() {
        BatchScheduler scheduler = scheduler(4, 10);
        scheduler.submit(CompletionFixtures.request("a", 0, 1, 0), new RecordingSink("a"), 0);
        scheduler.submit(CompletionFixtures.request("b", 0, 1, 0), new RecordingSink("b"), 0);
        scheduler.advance(BLOCK_PREFILL_MICROS + 1100);
        assertThat(recordedEvents).containsExactly("a started 0", "stored 1", "b started 1", "a token 0", "b token 0");
        scheduler.advance(BLOCK_PREFILL_MICROS + 1100 + 1199);
        assertThat(recordedEvents).hasSize(5);
        scheduler.advance(BLOCK_PREFILL_MICROS + 1100 + 3 * 1200);
        assertThat(recordedEvents).endsWith("a end 4", "b end 4");
        assertThat(scheduler.running()).isZero();
        assertThat(scheduler.nextAdvanceMicros()).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void shouldEvictLeastRecentlyUsedBlocksWhenTheCacheIsFull() {
        BatchScheduler scheduler = scheduler(1, 10);
        runAlone(scheduler, "a", 0, 3, 0);
        runAlone(scheduler, "b", 0, 2, 100_000);
        // The cache holds 4 blocks: c evicts block 2, which d computes again.
        runAlone(scheduler, "c", 5, 7, 200_000);
        runAlone(scheduler, "d", 0, 3, 300_000);
        assertThat(recordedEvents).contains("b started 2", "evicted 1", "d started 2");
        assertThat(cache.counters(0)).isEqualTo(new EngineCounters(4, 6, 1, 0, 0));
    }

    /** A caller that does not read its response must not delay the other requests of a decode step. */
    @Test
    void shouldPauseOnlyTheSlowReaderWhenItsConnectionIsNotWritable() {
        BatchScheduler scheduler = scheduler(2, 10);
        RecordingSink slow = new RecordingSink("slow");
        slow.writable = false;
        scheduler.submit(CompletionFixtures.request("slow", 0, 1, 0), slow, 0);
        scheduler.submit(CompletionFixtures.request("fast", 0, 1, 0), new RecordingSink("fast"), 0);
        scheduler.advance(100_000);
        assertThat(recordedEvents).contains("fast end 4").doesNotContain("slow token 0");
        slow.writable = true;
        scheduler.advance(200_000);
        assertThat(recordedEvents).endsWith("slow token 3", "slow end 4");
    }

    @Test
    void shouldRejectImmediatelyWhenTheQueueIsFull() {
        BatchScheduler scheduler = scheduler(1, 1);
        scheduler.submit(CompletionFixtures.request("a", 0, 1, 0), new RecordingSink("a"), 0);
        scheduler.submit(CompletionFixtures.request("b", 0, 1, 0), new RecordingSink("b"), 0);
        scheduler.submit(CompletionFixtures.request("c", 0, 1, 0), new RecordingSink("c"), 0);
        assertThat(recordedEvents).containsExactly("a started 0", "c refused 503 overloaded");
    }

    @Test
    void shouldStartTheNextPrefillWhenARequestIsCancelledDuringItsPrefill() {
        BatchScheduler scheduler = scheduler(1, 10);
        scheduler.submit(CompletionFixtures.request("a", 0, 4, 0), new RecordingSink("a"), 0);
        scheduler.submit(CompletionFixtures.request("b", 0, 1, 0), new RecordingSink("b"), 0);
        scheduler.cancel("a", 5);
        assertThat(recordedEvents).containsExactly("a started 0", "a cancelled", "b started 0");
        assertThat(cache.size()).isZero();
    }

    @Test
    void shouldRejectWaitingAndAbortStartedRequestsWhenTheWeightsChange() {
        BatchScheduler scheduler = scheduler(1, 10);
        scheduler.submit(CompletionFixtures.request("a", 0, 1, 0), new RecordingSink("a"), 0);
        scheduler.submit(CompletionFixtures.request("b", 0, 1, 0), new RecordingSink("b"), 0);
        scheduler.dropMismatchedRequests("weights-2", 5);
        assertThat(recordedEvents).containsExactly("a started 0", "b refused 409 wrong_weights", "a cut");
    }

    private BatchScheduler scheduler(int slots, int maxWaiting) {
        return new BatchScheduler(
                EngineOptions.ofDefaults().withTiming(TIMING).withLimits(4, slots, maxWaiting), cache);
    }

    private void runAlone(BatchScheduler scheduler, String requestId, int firstBlock, int endBlock, long now) {
        scheduler.submit(
                CompletionFixtures.request(requestId, firstBlock, endBlock, 0), new RecordingSink(requestId), now);
        scheduler.advance(now + 50_000);
    }

    private final class RecordingSink implements CompletionSink {
        private final String name;
        private boolean writable = true;

        RecordingSink(String name) {
            this.name = name;
        }

        @Override
        public boolean isWritable() {
            return writable;
        }

        @Override
        public void started(int cachedBlocks) {
            recordedEvents.add(name + " started " + cachedBlocks);
        }

        @Override
        public void token(int offset, String text) {
            recordedEvents.add(name + " token " + offset);
        }

        @Override
        public void completed(int outputTokens, int cachedTokens) {
            recordedEvents.add(name + " end " + outputTokens);
        }

        @Override
        public void rejected(int status, String error) {
            recordedEvents.add(name + " refused " + status + " " + error);
        }

        @Override
        public void cancelled() {
            recordedEvents.add(name + " cancelled");
        }

        @Override
        public void aborted() {
            recordedEvents.add(name + " cut");
        }
    }
}
