package org.geraniumford.core.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class WeightsHistoryTest {
    private static final Duration BOUND = Duration.ofSeconds(8);
    private static final long SECOND = 1_000_000_000L;

    private final WeightsHistory history = WeightsHistory.empty();

    @Test
    void shouldReturnNoVersionWhenNoneWasNamed() {
        assertThat(history.newest()).isZero();
        assertThat(history.oldestAllowed(BOUND, 100 * SECOND)).isZero();
    }

    @Test
    void shouldAllowOlderWeightsUntilTheBoundHasPassed() {
        history.named(2, SECOND);
        history.named(3, 5 * SECOND);
        assertThat(history.oldestAllowed(BOUND, 9 * SECOND)).isZero();
        assertThat(history.oldestAllowed(BOUND, 10 * SECOND)).isEqualTo(2);
        assertThat(history.oldestAllowed(BOUND, 14 * SECOND)).isEqualTo(3);
        assertThat(history.newest()).isEqualTo(3);
    }

    @Test
    void shouldKeepTheEarliestTimeThatIsHeardOf() {
        history.named(2, 5 * SECOND);
        history.named(2, SECOND);
        history.named(2, 7 * SECOND);
        assertThat(history.oldestAllowed(BOUND, 10 * SECOND)).isEqualTo(2);
    }
}
