package org.geraniumford.core.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.withinPercentage;

import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class EngineCostModelTest {
    private static final long FIXED_NANOS = TimeUnit.MILLISECONDS.toNanos(16);
    private static final long NANOS_PER_TOKEN = 100_000;

    @Test
    void shouldSeparateFixedCostFromCostPerTokenWhenPrefillsDiffer() {
        EngineCostModel model = EngineCostModel.initial();
        Random random = new Random(3);
        for (int i = 0; i < 200; i++) {
            long tokens = random.nextInt(4_000);
            model = model.withPrefill(tokens, FIXED_NANOS + tokens * NANOS_PER_TOKEN);
        }
        assertThat(model.prefillNanos(0)).isCloseTo(FIXED_NANOS, withinPercentage(5));
        assertThat(model.prefillNanos(64_000)).isCloseTo(FIXED_NANOS + 64_000 * NANOS_PER_TOKEN, withinPercentage(5));
    }

    @Test
    void shouldNotCountFixedCostAsCostPerTokenWhenAllPrefillsAreShort() {
        EngineCostModel model = EngineCostModel.initial();
        for (int i = 0; i < 50; i++) {
            model = model.withPrefill(64, FIXED_NANOS + 64 * NANOS_PER_TOKEN);
        }
        assertThat(model.prefillNanos(64)).isCloseTo(FIXED_NANOS + 64 * NANOS_PER_TOKEN, withinPercentage(10));
        assertThat(model.prefillNanos(16_000)).isLessThan(2 * (FIXED_NANOS + 16_000 * NANOS_PER_TOKEN));
    }

    @Test
    void shouldAdaptEstimatesWhenEngineSlowsDown() {
        EngineCostModel model = EngineCostModel.of(NANOS_PER_TOKEN, 1_000_000, 10);
        for (int i = 0; i < 100; i++) {
            long tokens = 1_000 + 500L * (i % 5);
            model = model.withPrefill(tokens, tokens * 3 * NANOS_PER_TOKEN).withDecode(21, 20 * 3_000_000L);
        }
        assertThat(model.prefillNanos(2_000)).isCloseTo(2_000 * 3 * NANOS_PER_TOKEN, withinPercentage(5));
        assertThat(model.decodeNanos(1_000)).isCloseTo(21 * 3_000_000L, withinPercentage(5));
    }

    @Test
    void shouldAddDelayToPrefillTimeWhenEngineIsBusyDecoding() {
        EngineCostModel model = EngineCostModel.of(NANOS_PER_TOKEN, 1_000_000, 10);
        for (int i = 0; i < 100; i++) {
            model = model.withDelay(1_000, 1_000 * NANOS_PER_TOKEN + FIXED_NANOS);
        }
        assertThat(model.occupiedNanos(1_000)).isCloseTo(1_000 * NANOS_PER_TOKEN + FIXED_NANOS, withinPercentage(1));
    }
}
