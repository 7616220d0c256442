package org.geraniumford.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class SharedRetryBudgetTest {
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final double RATIO = 0.2;
    private static final double SLACK = 100;
    private static final int ENTRIES = 8;

    @Test
    void shouldNeverExceedTheWholeSystemsBudgetInAnyWindow() {
        Random random = new Random(11);
        List<SharedRetryBudget> entries = new ArrayList<>();
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(SharedRetryBudget.of(RATIO, WINDOW, SLACK));
        }
        List<Long> requests = new ArrayList<>();
        List<Long> repeats = new ArrayList<>();
        long now = 0;
        for (int i = 0; i < 6000; i++) {
            now += random.nextInt(20_000_000);
            SharedRetryBudget entry = entries.get(random.nextInt(ENTRIES));
            entry.recordRequest(now);
            requests.add(now);
            if (entry.tryAcquire(now, ENTRIES)) {
                repeats.add(now);
            }
        }
        for (long end : repeats) {
            long start = end - WINDOW.toNanos();
            long counted =
                    repeats.stream().filter(at -> at > start && at <= end).count();
            long earned =
                    requests.stream().filter(at -> at > start && at <= end).count();
            assertThat((double) counted).isLessThanOrEqualTo(RATIO * earned + SLACK);
        }
        assertThat(repeats).isNotEmpty();
    }

    @Test
    void shouldShareTheSlackAmongTheEntries() {
        SharedRetryBudget alone = SharedRetryBudget.of(RATIO, WINDOW, SLACK);
        SharedRetryBudget oneOfMany = SharedRetryBudget.of(RATIO, WINDOW, SLACK);
        assertThat(taken(alone, 1)).isEqualTo(80);
        assertThat(taken(oneOfMany, 8)).isEqualTo(10);
    }

    private static int taken(SharedRetryBudget budget, int entries) {
        int taken = 0;
        while (budget.tryAcquire(0, entries)) {
            taken++;
        }
        return taken;
    }
}
