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
    void shouldStayWithinTheBudgetInAnyWindowWhenManyEntriesRetry() {
        Random random = new Random(11);
        List<SharedRetryBudget> entries = new ArrayList<>();
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(SharedRetryBudget.of(RATIO, WINDOW, SLACK));
        }
        List<Long> requestTimes = new ArrayList<>();
        List<Long> retryTimes = new ArrayList<>();
        long nowNanos = 0;
        for (int i = 0; i < 6000; i++) {
            nowNanos += random.nextInt(20_000_000);
            SharedRetryBudget entry = entries.get(random.nextInt(ENTRIES));
            entry.recordRequest(nowNanos);
            requestTimes.add(nowNanos);
            if (entry.tryAcquire(nowNanos, ENTRIES)) {
                retryTimes.add(nowNanos);
            }
        }
        for (long end : retryTimes) {
            long start = end - WINDOW.toNanos();
            long sentRetries =
                    retryTimes.stream().filter(at -> at > start && at <= end).count();
            long sentRequests =
                    requestTimes.stream().filter(at -> at > start && at <= end).count();
            assertThat((double) sentRetries).isLessThanOrEqualTo(RATIO * sentRequests + SLACK);
        }
        assertThat(retryTimes).isNotEmpty();
    }

    @Test
    void shouldAllowAnEqualPartOfTheSlackWhenEntriesShareIt() {
        SharedRetryBudget alone = SharedRetryBudget.of(RATIO, WINDOW, SLACK);
        SharedRetryBudget oneOfMany = SharedRetryBudget.of(RATIO, WINDOW, SLACK);
        // Without requests, an entry uses 80% of its part of the slack.
        assertThat(acquireAll(alone, 1)).isEqualTo(80);
        assertThat(acquireAll(oneOfMany, 8)).isEqualTo(10);
    }

    private static int acquireAll(SharedRetryBudget budget, int entryCount) {
        int acquired = 0;
        while (budget.tryAcquire(0, entryCount)) {
            acquired++;
        }
        return acquired;
    }
}
