package org.geraniumford.core.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.withinPercentage;

import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class CostModelTest {
    private static final long FIXED = TimeUnit.MILLISECONDS.toNanos(16);
    private static final long PER_TOKEN = 100_000;

    @Test
    void shouldSeparateFixedCostFromCostPerTokenWhenPrefillsDiffer() {
        CostModel model = CostModel.initial();
        Random random = new Random(3);
        for (int i = 0; i < 200; i++) {
            long tokens = random.nextInt(4_000);
            model = model.withPrefill(tokens, FIXED + tokens * PER_TOKEN);
        }
        assertThat(model.prefillNanos(0)).isCloseTo(FIXED, withinPercentage(5));
        assertThat(model.prefillNanos(64_000)).isCloseTo(FIXED + 64_000 * PER_TOKEN, withinPercentage(5));
    }

    @Test
    void shouldNotTakeFixedCostForCostPerTokenWhenAllPrefillsAreShort() {
        CostModel model = CostModel.initial();
        for (int i = 0; i < 50; i++) {
            model = model.withPrefill(64, FIXED + 64 * PER_TOKEN);
        }
        assertThat(model.prefillNanos(64)).isCloseTo(FIXED + 64 * PER_TOKEN, withinPercentage(10));
        assertThat(model.prefillNanos(16_000)).isLessThan(2 * (FIXED + 16_000 * PER_TOKEN));
    }

    @Test
    void shouldFollowEngineWhenItSlowsDown() {
        CostModel model = CostModel.of(PER_TOKEN, 1_000_000, 10);
        for (int i = 0; i < 100; i++) {
            long tokens = 1_000 + 500L * (i % 5);
            model = model.withPrefill(tokens, tokens * 3 * PER_TOKEN).withAnswer(21, 20 * 3_000_000L);
        }
        assertThat(model.prefillNanos(2_000)).isCloseTo(2_000 * 3 * PER_TOKEN, withinPercentage(5));
        assertThat(model.answerNanos(1_000)).isCloseTo(21 * 3_000_000L, withinPercentage(5));
    }

    @Test
    void shouldCountDelayBesidesPrefillWhenEngineIsFullOfAnswers() {
        CostModel model = CostModel.of(PER_TOKEN, 1_000_000, 10);
        for (int i = 0; i < 100; i++) {
            model = model.withDelay(1_000, 1_000 * PER_TOKEN + FIXED);
        }
        assertThat(model.occupiedNanos(1_000)).isCloseTo(1_000 * PER_TOKEN + FIXED, withinPercentage(1));
    }
}
