package org.geraniumford.trials.measure;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FleetCountersTest {
    @ParameterizedTest
    @CsvSource({"0, 0, 0", "100, 100, 0", "100, 90, 0.1", "100, 120, 0"})
    void shouldCountAsWastedWhatTheBestRoutingWouldNotCompute(long computed, long bound, double wasted) {
        FleetCounters counters = new FleetCounters(5, computed, 1, 0);
        assertThat(counters.minus(FleetCounters.ZERO).wastedFraction(bound)).isEqualTo(wasted);
        assertThat(counters.plus(counters).minus(counters)).isEqualTo(counters);
    }
}
