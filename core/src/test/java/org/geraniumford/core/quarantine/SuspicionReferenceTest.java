package org.geraniumford.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Compares the count with its definition: the size of the longest chain of intervals from sending to the engine's end
 * that do not overlap, among those that ended later than a second after a response last began.
 */
final class SuspicionReferenceTest {
    private static final int STEPS = 400;
    private static final long MAX_STEP_NANOS = 400_000_000;
    private static final long RECENT_NANOS = 1_000_000_000;
    private static final List<Long> SEGMENTS = List.of(7L);

    private final SegmentQuarantine quarantine = SegmentQuarantine.empty("entry-1", new RecordedChanges());
    private final List<Attempt> running = new ArrayList<>();
    private final List<Interval> intervals = new ArrayList<>();
    private long now;
    private long lastResponseNanos = -RECENT_NANOS;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void shouldCountTheLongestChainOfEndsThatFollowOneAnother(long seed) {
        Random random = new Random(seed);
        for (int step = 0; step < STEPS; step++) {
            now += 1 + random.nextLong(MAX_STEP_NANOS);
            takeStep(random);
            assertThat(quarantine.count(7, now)).as("step %d", step).isEqualTo(longestChain());
        }
    }

    private void takeStep(Random random) {
        int choice = random.nextInt(20);
        if (choice < 9 || running.isEmpty()) {
            running.add(new Attempt(now, quarantine.begin(SEGMENTS, now)));
        } else if (choice < 19) {
            Attempt ended = running.remove(random.nextInt(running.size()));
            quarantine.recordEngineEnd(ended.use(), now, now);
            quarantine.release(ended.use());
            if (now - lastResponseNanos > RECENT_NANOS) {
                intervals.add(new Interval(ended.sentNanos(), now));
            }
        } else {
            quarantine.recordFirstEvent(
                    running.get(random.nextInt(running.size())).use(), now);
            intervals.clear();
            lastResponseNanos = now;
        }
    }

    private int longestChain() {
        long lastEnd = -1;
        int size = 0;
        for (Interval interval : intervals.stream()
                .sorted(Comparator.comparingLong(Interval::endedNanos))
                .toList()) {
            if (interval.sentNanos() > lastEnd) {
                lastEnd = interval.endedNanos();
                size++;
            }
        }
        return size;
    }

    private record Attempt(long sentNanos, PromptUse use) {}

    private record Interval(long sentNanos, long endedNanos) {}
}
