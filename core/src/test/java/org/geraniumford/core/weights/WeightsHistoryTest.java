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
        history.recordPublished(2, SECOND, SECOND);
        history.recordPublished(3, 5 * SECOND, 5 * SECOND);
        assertThat(history.oldestAllowed(BOUND, 9 * SECOND)).isEqualTo(1);
        assertThat(history.oldestAllowed(BOUND, 10 * SECOND)).isEqualTo(2);
        assertThat(history.oldestAllowed(BOUND, 14 * SECOND)).isEqualTo(3);
        assertThat(history.newest()).isEqualTo(3);
    }

    @Test
    void shouldKeepTheEarliestTimeThatIsHeardOf() {
        history.recordPublished(2, 5 * SECOND, 5 * SECOND);
        history.recordPublished(2, SECOND, SECOND);
        history.recordPublished(2, 7 * SECOND, 7 * SECOND);
        assertThat(history.oldestAllowed(BOUND, 10 * SECOND)).isEqualTo(2);
    }

    @Test
    void shouldAvoidVersionsOfUnknownAgeSoonAfterAnEntryStartsAmidARollout() {
        history.recordInitial(4, 100 * SECOND, 100 * SECOND);
        assertThat(history.newest()).isEqualTo(4);
        assertThat(history.oldestAllowed(BOUND, 101 * SECOND)).isZero();
        assertThat(history.oldestAllowed(BOUND, 102 * SECOND)).isEqualTo(4);
    }

    @Test
    void shouldAllowTheVersionBeforeOneWhoseNamingAPeerWitnessed() {
        history.recordInitial(4, 100 * SECOND, 100 * SECOND);
        history.recordPublished(4, 98 * SECOND, 100 * SECOND);
        assertThat(history.oldestAllowed(BOUND, 102 * SECOND)).isEqualTo(3);
        assertThat(history.oldestAllowed(BOUND, 107 * SECOND)).isEqualTo(4);
    }

    @Test
    void shouldAvoidWhatWasNamedBeforeTheFirstWitnessedVersion() {
        history.recordPublished(4, 98 * SECOND, 100 * SECOND);
        history.recordPublished(3, 95 * SECOND, 100 * SECOND);
        assertThat(history.oldestAllowed(BOUND, 102 * SECOND)).isEqualTo(2);
        assertThat(history.oldestAllowed(BOUND, 104 * SECOND)).isEqualTo(3);
    }

    @Test
    void shouldTakeAVersionFoundAfterOlderOnesAsNamedSince() {
        history.recordInitial(3, 90 * SECOND, 90 * SECOND);
        history.recordInitial(4, 100 * SECOND, 100 * SECOND);
        assertThat(history.oldestAllowed(BOUND, 102 * SECOND)).isEqualTo(3);
        assertThat(history.gossip("model", 102 * SECOND)).containsExactly(new PublishedWeights("model", 4, 2000, true));
    }

    @Test
    void shouldTellOfAFoundVersionThatItsNamingWasNotWitnessed() {
        history.recordInitial(3, 90 * SECOND, 90 * SECOND);
        assertThat(history.gossip("model", 92 * SECOND)).containsExactly(new PublishedWeights("model", 3, 2000, false));
    }
}
