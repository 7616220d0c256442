package org.geraniumford.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.geraniumford.core.prefix.PieceKey;
import org.junit.jupiter.api.Test;

class BatchTest {
    private static final EngineTiming TIMING = new EngineTiming(10, 0, 1000, 100, 0, 0, 0, 0);
    private static final long PIECE_MICROS = 10L * Completions.PIECE_TOKENS;

    private final List<String> heard = new ArrayList<>();
    private final CacheListener changes = new CacheListener() {
        @Override
        public void stored(List<PieceKey> keys) {
            heard.add("stored " + keys.size());
        }

        @Override
        public void evicted(List<PieceKey> keys) {
            heard.add("evicted " + keys.size());
        }
    };
    private final PieceCache cache = new PieceCache(4, changes);

    @Test
    void shouldPrefillOneAfterTheOtherByPriorityWhenRequestsArriveTogether() {
        Batch batch = batch(4, 10);
        batch.submit(Completions.request("first", 0, 1, 2), new Sink("first"), 0);
        batch.submit(Completions.request("late", 1, 2, 2), new Sink("late"), 0);
        batch.submit(Completions.request("urgent", 2, 3, 0), new Sink("urgent"), 0);
        batch.advance(PIECE_MICROS - 1);
        assertThat(heard).containsExactly("first started 0");
        batch.advance(3 * PIECE_MICROS);
        assertThat(heard.stream().filter(line -> line.contains("started")))
                .containsExactly("first started 0", "urgent started 0", "late started 0");
    }

    @Test
    void shouldSendOneTokenOfEachRequestInAStepWhenTheyRunTogether() {
        Batch batch = batch(4, 10);
        batch.submit(Completions.request("a", 0, 1, 0), new Sink("a"), 0);
        batch.submit(Completions.request("b", 0, 1, 0), new Sink("b"), 0);
        batch.advance(PIECE_MICROS + 1100);
        assertThat(heard).containsExactly("a started 0", "stored 1", "b started 1", "a token 0", "b token 0");
        batch.advance(PIECE_MICROS + 1100 + 1199);
        assertThat(heard).hasSize(5);
        batch.advance(PIECE_MICROS + 1100 + 3 * 1200);
        assertThat(heard).endsWith("a end 4", "b end 4");
        assertThat(batch.running()).isZero();
        assertThat(batch.nextDue()).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void shouldEvictLeastRecentlyUsedPiecesWhenTheCacheIsFull() {
        Batch batch = batch(1, 10);
        runAlone(batch, "a", 0, 3, 0);
        runAlone(batch, "b", 0, 2, 100_000);
        runAlone(batch, "c", 5, 7, 200_000);
        runAlone(batch, "d", 0, 3, 300_000);
        assertThat(heard).contains("b started 2", "evicted 1", "d started 2");
        assertThat(cache.counters(0)).isEqualTo(new EngineCounters(4, 6, 1, 0, 0));
    }

    @Test
    void shouldPauseOnlyTheSlowReaderWhenItsConnectionIsFull() {
        Batch batch = batch(2, 10);
        Sink slow = new Sink("slow");
        slow.writable = false;
        batch.submit(Completions.request("slow", 0, 1, 0), slow, 0);
        batch.submit(Completions.request("fast", 0, 1, 0), new Sink("fast"), 0);
        batch.advance(100_000);
        assertThat(heard).contains("fast end 4").doesNotContain("slow token 0");
        slow.writable = true;
        batch.advance(200_000);
        assertThat(heard).endsWith("slow token 3", "slow end 4");
    }

    @Test
    void shouldRefuseAtOnceWhenTheWaitingListIsFull() {
        Batch batch = batch(1, 1);
        batch.submit(Completions.request("a", 0, 1, 0), new Sink("a"), 0);
        batch.submit(Completions.request("b", 0, 1, 0), new Sink("b"), 0);
        batch.submit(Completions.request("c", 0, 1, 0), new Sink("c"), 0);
        assertThat(heard).containsExactly("a started 0", "c refused 503 overloaded");
    }

    @Test
    void shouldFreeThePlaceWhenARequestIsCancelledInItsPrefill() {
        Batch batch = batch(1, 10);
        batch.submit(Completions.request("a", 0, 4, 0), new Sink("a"), 0);
        batch.submit(Completions.request("b", 0, 1, 0), new Sink("b"), 0);
        batch.cancel("a", 5);
        assertThat(heard).containsExactly("a started 0", "a cancelled", "b started 0");
        assertThat(cache.size()).isZero();
    }

    @Test
    void shouldRefuseWaitingAndCutRunningRequestsWhenTheWeightsChange() {
        Batch batch = batch(1, 10);
        batch.submit(Completions.request("a", 0, 1, 0), new Sink("a"), 0);
        batch.submit(Completions.request("b", 0, 1, 0), new Sink("b"), 0);
        batch.dropOtherWeights("weights-2", 5);
        assertThat(heard).containsExactly("a started 0", "b refused 409 wrong_weights", "a cut");
    }

    private Batch batch(int slots, int waiting) {
        return new Batch(EngineOptions.standard().withTiming(TIMING).withSizes(4, slots, waiting), cache);
    }

    private void runAlone(Batch batch, String id, int from, int to, long now) {
        batch.submit(Completions.request(id, from, to, 0), new Sink(id), now);
        batch.advance(now + 50_000);
    }

    private final class Sink implements CompletionSink {
        private final String name;
        private boolean writable = true;

        Sink(String name) {
            this.name = name;
        }

        @Override
        public boolean writable() {
            return writable;
        }

        @Override
        public void started(int cachedPieces) {
            heard.add(name + " started " + cachedPieces);
        }

        @Override
        public void token(int offset, String text) {
            heard.add(name + " token " + offset);
        }

        @Override
        public void end(int offset, int cachedTokens) {
            heard.add(name + " end " + offset);
        }

        @Override
        public void refused(int status, String error) {
            heard.add(name + " refused " + status + " " + error);
        }

        @Override
        public void cancelled() {
            heard.add(name + " cancelled");
        }

        @Override
        public void cut() {
            heard.add(name + " cut");
        }
    }
}
