package org.geraniumford.core.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

final class LoadTimesTest {
    private static final Duration ASSUMED = Duration.ofSeconds(2);

    @Test
    void shouldEstimateTheAverageWhileNoOrderIsOverdue() {
        assertThat(LoadTimes.of(ASSUMED).estimate(List.of(Duration.ofMillis(1900), Duration.ZERO)))
                .isEqualTo(LoadEstimate.of(ASSUMED));
    }

    /** Guards against a turn of long drains that is learned of only when it has ended. */
    @Test
    void shouldExpectMoreAndMoreTimeWhileOrdersAreOverdue() {
        LoadEstimate early = LoadTimes.of(ASSUMED).estimate(Collections.nCopies(9, Duration.ofSeconds(3)));
        LoadEstimate late = LoadTimes.of(ASSUMED).estimate(Collections.nCopies(9, Duration.ofSeconds(6)));
        assertThat(early.atLeast()).isBetween(Duration.ofMillis(2700), Duration.ofSeconds(3));
        assertThat(early.expected()).isBetween(Duration.ofSeconds(5), Duration.ofSeconds(6));
        assertThat(late.atLeast()).isGreaterThan(early.atLeast());
        assertThat(late.expected()).isGreaterThan(early.expected());
    }

    /** Guards against a whole fleet that is ordered at once because a single server hangs. */
    @Test
    void shouldExpectLittleMoreTimeWhenOneServerIsOverdue() {
        LoadEstimate estimate = LoadTimes.of(ASSUMED).estimate(List.of(Duration.ofMillis(3500), Duration.ofSeconds(1)));
        assertThat(estimate.expected()).isEqualTo(Duration.ofSeconds(3));
    }

    @Test
    void shouldLearnAverageAndDeviationFromOrdersThatHaveEnded() {
        LoadTimes once = LoadTimes.of(ASSUMED).with(Duration.ofSeconds(7));
        assertThat(once).isEqualTo(new LoadTimes(Duration.ofSeconds(3), Duration.ofSeconds(1)));
        assertThat(once.estimate(List.of())).isEqualTo(new LoadEstimate(Duration.ofSeconds(3), Duration.ofSeconds(4)));
        LoadTimes often = Stream.iterate(once, times -> times.with(Duration.ofSeconds(7)))
                .skip(50)
                .findFirst()
                .orElseThrow();
        assertThat(often.average()).isBetween(Duration.ofMillis(6990), Duration.ofSeconds(7));
        assertThat(often.deviation()).isLessThan(Duration.ofMillis(10));
    }
}
