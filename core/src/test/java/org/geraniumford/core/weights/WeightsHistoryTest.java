package org.geraniumford.core.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class WeightsHistoryTest {
    private static final Duration MAX_STALENESS = Duration.ofSeconds(8);
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final WeightsHistory history = WeightsHistory.empty();

    @Test
    void shouldReturnZeroWhenNoVersionWasPublished() {
        assertThat(history.newest()).isZero();
        assertThat(history.oldestAllowed(MAX_STALENESS, 100 * SECOND_NANOS)).isZero();
    }

    @Test
    void shouldAllowOlderWeightsUntilMaxStalenessHasPassed() {
        history.recordPublished(2, SECOND_NANOS, SECOND_NANOS);
        history.recordPublished(3, 5 * SECOND_NANOS, 5 * SECOND_NANOS);
        assertThat(history.oldestAllowed(MAX_STALENESS, 9 * SECOND_NANOS)).isEqualTo(1);
        assertThat(history.oldestAllowed(MAX_STALENESS, 10 * SECOND_NANOS)).isEqualTo(2);
        assertThat(history.oldestAllowed(MAX_STALENESS, 14 * SECOND_NANOS)).isEqualTo(3);
        assertThat(history.newest()).isEqualTo(3);
    }

    /** Each time says that the version was not published yet, so the latest is the tightest limit. */
    @Test
    void shouldKeepLatestTimeWhenSeveralAreReported() {
        history.recordPublished(2, 5 * SECOND_NANOS, 7 * SECOND_NANOS);
        history.recordPublished(2, SECOND_NANOS, 7 * SECOND_NANOS);
        history.recordPublished(2, 6 * SECOND_NANOS, 7 * SECOND_NANOS);
        assertThat(history.oldestAllowed(MAX_STALENESS, 14 * SECOND_NANOS)).isEqualTo(1);
        assertThat(history.oldestAllowed(MAX_STALENESS, 15 * SECOND_NANOS)).isEqualTo(2);
    }

    /** Guards against an entry that finds a version when its row is put back, and reports it as just published. */
    @Test
    void shouldNotAllowOlderWeightsAgainWhenALaterTimeOfAKnownVersionIsReported() {
        history.recordPublished(2, SECOND_NANOS, SECOND_NANOS);
        assertThat(history.oldestAllowed(MAX_STALENESS, 100 * SECOND_NANOS)).isEqualTo(2);
        history.recordPublished(2, 100 * SECOND_NANOS, 100 * SECOND_NANOS);
        assertThat(history.oldestAllowed(MAX_STALENESS, 100 * SECOND_NANOS)).isEqualTo(2);
        assertThat(history.gossip("model", 100 * SECOND_NANOS))
                .contains(new PublishedWeights("model", 2, 1000, 99_000, true));
    }

    @Test
    void shouldNotCountATimeAfterANewerVersionWasKnown() {
        history.recordInitial(4, 100 * SECOND_NANOS, 100 * SECOND_NANOS);
        assertThat(history.oldestAllowed(MAX_STALENESS, 102 * SECOND_NANOS)).isEqualTo(4);
        history.recordPublished(4, 110 * SECOND_NANOS, 110 * SECOND_NANOS);
        history.recordPublished(3, 110 * SECOND_NANOS, 110 * SECOND_NANOS);
        assertThat(history.oldestAllowed(MAX_STALENESS, 110 * SECOND_NANOS)).isEqualTo(4);
    }

    @Test
    void shouldDisallowVersionsOfUnknownAgeSoonAfterStartDuringRollout() {
        history.recordInitial(4, 100 * SECOND_NANOS, 100 * SECOND_NANOS);
        assertThat(history.newest()).isEqualTo(4);
        assertThat(history.oldestAllowed(MAX_STALENESS, 101 * SECOND_NANOS)).isZero();
        assertThat(history.oldestAllowed(MAX_STALENESS, 102 * SECOND_NANOS)).isEqualTo(4);
    }

    @Test
    void shouldAllowPrecedingVersionWhenPeerObservedPublication() {
        history.recordInitial(4, 100 * SECOND_NANOS, 100 * SECOND_NANOS);
        history.recordPublished(4, 98 * SECOND_NANOS, 100 * SECOND_NANOS);
        assertThat(history.oldestAllowed(MAX_STALENESS, 102 * SECOND_NANOS)).isEqualTo(3);
        assertThat(history.oldestAllowed(MAX_STALENESS, 107 * SECOND_NANOS)).isEqualTo(4);
    }

    @Test
    void shouldDisallowVersionsPublishedBeforeFirstObservedOne() {
        history.recordPublished(4, 98 * SECOND_NANOS, 100 * SECOND_NANOS);
        history.recordPublished(3, 95 * SECOND_NANOS, 100 * SECOND_NANOS);
        assertThat(history.oldestAllowed(MAX_STALENESS, 102 * SECOND_NANOS)).isEqualTo(2);
        assertThat(history.oldestAllowed(MAX_STALENESS, 104 * SECOND_NANOS)).isEqualTo(3);
    }

    /** A peer that has just started announces a version that it found; it may have been published long ago. */
    @Test
    void shouldTreatAFoundVersionAsOneOfUnknownAgeWhenOlderOnesAreKnown() {
        history.recordInitial(3, 90 * SECOND_NANOS, 90 * SECOND_NANOS);
        history.recordInitial(4, 100 * SECOND_NANOS, 100 * SECOND_NANOS);
        assertThat(history.oldestAllowed(MAX_STALENESS, 101 * SECOND_NANOS)).isLessThan(4);
        assertThat(history.oldestAllowed(MAX_STALENESS, 102 * SECOND_NANOS)).isEqualTo(4);
        assertThat(history.gossip("model", 102 * SECOND_NANOS))
                .containsExactly(new PublishedWeights("model", 4, 100_000, 2000, false));
        history.recordPublished(4, 99 * SECOND_NANOS, 102 * SECOND_NANOS);
        assertThat(history.oldestAllowed(MAX_STALENESS, 102 * SECOND_NANOS)).isEqualTo(3);
        assertThat(history.oldestAllowed(MAX_STALENESS, 108 * SECOND_NANOS)).isEqualTo(4);
    }

    @Test
    void shouldAnnounceInitialVersionAsNotObserved() {
        history.recordInitial(3, 90 * SECOND_NANOS, 90 * SECOND_NANOS);
        assertThat(history.gossip("model", 92 * SECOND_NANOS))
                .containsExactly(new PublishedWeights("model", 3, 90_000, 2000, false));
    }

    @Test
    void shouldReturnTheTimeLeftUntilTheNextVersionIsTooOld() {
        history.recordPublished(2, SECOND_NANOS, SECOND_NANOS);
        history.recordPublished(4, 5 * SECOND_NANOS, 5 * SECOND_NANOS);
        assertThat(history.timeLeft(4, MAX_STALENESS, 6 * SECOND_NANOS)).isEqualTo(MAX_STALENESS);
        assertThat(history.timeLeft(3, MAX_STALENESS, 6 * SECOND_NANOS)).isEqualTo(Duration.ofSeconds(7));
        assertThat(history.timeLeft(1, MAX_STALENESS, 6 * SECOND_NANOS)).isEqualTo(Duration.ofSeconds(3));
        assertThat(history.timeLeft(1, MAX_STALENESS, 10 * SECOND_NANOS)).isEqualTo(Duration.ofSeconds(-1));
    }

    @Test
    void shouldReturnNoTimeLeftWhenANewerVersionHasAnUnknownAge() {
        history.recordInitial(4, 100 * SECOND_NANOS, 100 * SECOND_NANOS);
        assertThat(history.timeLeft(3, MAX_STALENESS, 100 * SECOND_NANOS)).isZero();
        assertThat(history.timeLeft(4, MAX_STALENESS, 100 * SECOND_NANOS)).isEqualTo(MAX_STALENESS);
    }
}
