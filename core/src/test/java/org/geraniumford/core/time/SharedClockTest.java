package org.geraniumford.core.time;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class SharedClockTest {
    private long localMillis = 500;
    private final SharedClock clock = SharedClock.of(() -> TimeUnit.MILLISECONDS.toNanos(localMillis));

    @Test
    void shouldAdvanceWithTheLocalClockBetweenReadings() {
        assertThat(clock.isKnown()).isFalse();
        assertThat(clock.observe(10_000)).isZero();
        localMillis += 250;
        assertThat(clock.isKnown()).isTrue();
        assertThat(clock.millis()).isEqualTo(10_250);
    }

    @Test
    void shouldNotGoBackWhenAReadingWasLongOnItsWay() {
        clock.observe(10_000);
        localMillis += 4000;
        assertThat(clock.observe(11_000)).isZero();
        assertThat(clock.millis()).isEqualTo(14_000);
    }

    /** Guards against an estimate that runs ahead without limit, because the local clock is the faster one. */
    @Test
    void shouldForgetALargerEstimateWhenLaterReadingsAreSmaller() {
        clock.observe(10_000);
        for (int i = 0; i < 20; i++) {
            localMillis += 10_100;
            clock.observe(10_000 + 10_000L * (i + 1));
        }
        assertThat(clock.millis()).isBetween(210_000L, 211_000L);
    }

    /** Guards against ages that shrink by the time for which the host was suspended. */
    @Test
    void shouldAdvanceByTheTimeOfASuspensionWhenItIsReadAgain() {
        clock.observe(10_000);
        localMillis += 100;
        assertThat(clock.observe(14_100)).isEqualTo(4000);
        assertThat(clock.millis()).isEqualTo(14_100);
    }
}
