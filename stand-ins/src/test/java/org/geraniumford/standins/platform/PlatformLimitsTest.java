package org.geraniumford.standins.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class PlatformLimitsTest {
    private static final long SECOND_MICROS = 1_000_000;

    @Test
    void shouldAdmitTheRateAndOneBurstWhenRequestsArriveFaster() {
        // 4,000 requests at 2,000 a second take 2 s. A burst is a tenth of the 500 requests of a second.
        RateLimit limit = new RateLimit(500, 0);
        long admitted = LongStream.range(0, 4000)
                .filter(i -> limit.tryAcquire(i * SECOND_MICROS / 2000))
                .count();
        assertThat(admitted).isBetween(2 * 500L, 2 * 500L + 50);
    }

    @Test
    void shouldShowAHostOnlyWhenTheLagHasPassed() {
        HostList list = new HostList(SECOND_MICROS);
        list.put(new HostBody("runner-1", "runner", "127.0.0.1:1", "kigali-1", "live"), 0);
        assertThat(list.hosts(SECOND_MICROS - 1)).isEmpty();
        assertThat(list.hosts(SECOND_MICROS)).hasSize(1);
        list.put(new HostBody("runner-1", "runner", "127.0.0.1:1", "kigali-1", "gone"), SECOND_MICROS);
        assertThat(list.hosts(SECOND_MICROS)).hasSize(1);
        assertThat(list.hosts(2 * SECOND_MICROS)).isEmpty();
    }
}
