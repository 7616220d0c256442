package org.geraniumford.trials.measure;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FleetCountersTest {
    /**
     * Guards against a negative fraction. Engines may compute fewer blocks than the bound, for example when requests
     * fail.
     */
    @ParameterizedTest
    @CsvSource({"0, 0, 0", "100, 100, 0", "100, 90, 0.1", "100, 120, 0"})
    void shouldReturnTheFractionAboveTheBoundWhenBlocksWereComputed(
            long computedBlocks, long boundBlocks, double wastedFraction) {
        FleetCounters counters = new FleetCounters(5, computedBlocks, 1, 0);
        assertThat(counters.minus(FleetCounters.ZERO).wastedFraction(boundBlocks))
                .isEqualTo(wastedFraction);
        assertThat(counters.plus(counters).minus(counters)).isEqualTo(counters);
    }
}
