package org.geraniumford.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class ReachabilityTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Reachability reachability = Reachability.unknown();

    @Test
    void shouldReturnSilentWhenTheServerSendsNothingForOneSecond() {
        reachability.recordActivity(600 * NANOS_PER_MILLI);
        assertThat(reachability.isSilent(0, 1500 * NANOS_PER_MILLI, Duration.ZERO))
                .isFalse();
        assertThat(reachability.isSilent(0, 1700 * NANOS_PER_MILLI, Duration.ZERO))
                .isTrue();
    }

    /** Guards against moving requests away from a server that is busy with the requests of other entries. */
    @Test
    void shouldNotReturnSilentWhileTheServerNeedsTheTimeForWorkBeforeTheRequest() {
        assertThat(reachability.isSilent(0, 1700 * NANOS_PER_MILLI, Duration.ofMillis(800)))
                .isFalse();
        assertThat(reachability.isSilent(0, 1900 * NANOS_PER_MILLI, Duration.ofMillis(800)))
                .isTrue();
    }

    @Test
    void shouldSuspendForLongerAfterEachFailureUntilTheServerResponds() {
        reachability.recordUnreachable(0);
        assertThat(reachability.isSuspended(200 * NANOS_PER_MILLI)).isTrue();
        assertThat(reachability.isSuspended(400 * NANOS_PER_MILLI)).isFalse();
        reachability.recordUnreachable(1000 * NANOS_PER_MILLI);
        assertThat(reachability.isSuspended(1500 * NANOS_PER_MILLI)).isTrue();
        reachability.recordSuccess();
        assertThat(reachability.isSuspended(1500 * NANOS_PER_MILLI)).isFalse();
        reachability.recordUnreachable(2000 * NANOS_PER_MILLI);
        assertThat(reachability.isSuspended(2400 * NANOS_PER_MILLI)).isFalse();
    }

    @Test
    void shouldSuspendForAtMostFourSecondsWhenManyFailuresFollow() {
        for (int i = 0; i < 100; i++) {
            reachability.recordUnreachable(0);
        }
        assertThat(reachability.isSuspended(3900 * NANOS_PER_MILLI)).isTrue();
        assertThat(reachability.isSuspended(4100 * NANOS_PER_MILLI)).isFalse();
    }

    @Test
    void shouldSuspendForLongerAfterEachRejectionUntilTheServerResponds() {
        reachability.recordRejection(0);
        assertThat(reachability.isSuspended(199 * NANOS_PER_MILLI)).isTrue();
        assertThat(reachability.isSuspended(200 * NANOS_PER_MILLI)).isFalse();
        reachability.recordRejection(300 * NANOS_PER_MILLI);
        assertThat(reachability.isSuspended(699 * NANOS_PER_MILLI)).isTrue();
        assertThat(reachability.isSuspended(700 * NANOS_PER_MILLI)).isFalse();
        reachability.recordSuccess();
        reachability.recordRejection(1000 * NANOS_PER_MILLI);
        assertThat(reachability.isSuspended(1200 * NANOS_PER_MILLI)).isFalse();
    }

    /** Guards against a long suspension because several requests in progress are rejected at once. */
    @Test
    void shouldCountRejectionsDuringASuspensionOnce() {
        for (int i = 0; i < 10; i++) {
            reachability.recordRejection(i);
        }
        assertThat(reachability.isSuspended(200 * NANOS_PER_MILLI)).isFalse();
    }
}
