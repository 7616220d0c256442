package org.geraniumford.daemon.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class UnansweredServersTest {
    private static final int SERVERS = 18;
    private static final long AFTER_PATIENCE_NANOS = Duration.ofMillis(1001).toNanos();

    private final UnansweredServers unanswered = UnansweredServers.none();

    private void add(int count) {
        for (int i = 0; i < count; i++) {
            unanswered.add("engine-" + i, 0);
        }
    }

    @Test
    void shouldBeTheFaultOfThisSideWhenAQuarterOfTheServersHaveNotAnsweredForLong() {
        add(4);
        assertThat(unanswered.isFaultOfThisSide(SERVERS, Duration.ofSeconds(1).toNanos()))
                .isFalse();
        assertThat(unanswered.isFaultOfThisSide(SERVERS, AFTER_PATIENCE_NANOS)).isTrue();
    }

    /** Guards against a lease that goes round because a few engines are at fault themselves. */
    @Test
    void shouldNotBeTheFaultOfThisSideWhenFewerServersHaveNotAnswered() {
        add(3);
        assertThat(unanswered.isFaultOfThisSide(SERVERS, AFTER_PATIENCE_NANOS)).isFalse();
    }

    @Test
    void shouldNotBeTheFaultOfThisSideWhenAServerHasAnsweredMeanwhile() {
        add(3);
        unanswered.clear();
        unanswered.add("engine-3", 0);
        assertThat(unanswered.isFaultOfThisSide(SERVERS, AFTER_PATIENCE_NANOS)).isFalse();
    }
}
