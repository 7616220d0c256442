package org.geraniumford.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

final class ServerPauseTest {
    private static final long MILLI = 1_000_000;
    private static final long START = Long.MAX_VALUE - 2000 * MILLI;
    private static final Duration MAX_RETURN_DELAY = Duration.ofMillis(100);

    private final ServerPause pause = ServerPause.none(new Random(40));

    /** Returns a time that many milliseconds after the start; it overflows at 2,000. */
    private static long at(long millis) {
        return START + millis * MILLI;
    }

    @Test
    void shouldLastFromTheAnswerToItsEndAlsoWhenTheClockOverflows() {
        assertThat(pause.isPaused(START)).isFalse();
        pause.ask(Duration.ofSeconds(4), START);
        assertThat(pause.lasts(at(3999))).isTrue();
        assertThat(pause.isPaused(at(3999))).isTrue();
        assertThat(pause.lasts(at(4100))).isFalse();
        assertThat(pause.isPaused(at(4100))).isFalse();
    }

    @Test
    void shouldCountTheLatestAnswer() {
        pause.ask(Duration.ofSeconds(4), START);
        pause.ask(Duration.ofSeconds(1), at(500));
        assertThat(pause.isPaused(at(1499))).isTrue();
        assertThat(pause.isPaused(at(1600))).isFalse();
        pause.ask(Duration.ZERO, at(1700));
        assertThat(pause.isPaused(at(1800))).isFalse();
    }

    @Test
    void shouldBoundALongPause() {
        pause.ask(Duration.ofDays(10_000), START);
        assertThat(pause.timeLeft(START))
                .isBetween(ServerPause.LONGEST_PAUSE, ServerPause.LONGEST_PAUSE.plus(MAX_RETURN_DELAY));
    }

    /** Many callers ask at each millisecond; each that may is sent. */
    @Test
    void shouldLetRequestsReturnGraduallyAndThenFreely() {
        pause.ask(Duration.ofSeconds(1), START);
        long endMillis = 1000 + pause.timeLeft(at(1000)).toMillis() + 1;
        long[] sentMillis = LongStream.range(0, endMillis + 1000)
                .filter(millis -> {
                    boolean sent = !pause.isPaused(at(millis));
                    if (sent) {
                        pause.recordSent(at(millis));
                    }
                    return sent;
                })
                .toArray();
        assertThat(sentMillis[0]).isEqualTo(endMillis);
        assertThat(sentWithin(sentMillis, endMillis + 45)).isEqualTo(1);
        assertThat(sentWithin(sentMillis, endMillis + 195)).isBetween(10L, 16L);
        assertThat(sentWithin(sentMillis, endMillis + 990)).isBetween(200L, 400L);
        assertThat(pause.isRemembered(at(endMillis + 1000))).isFalse();
    }

    private static long sentWithin(long[] sentMillis, long untilMillis) {
        return LongStream.of(sentMillis).filter(millis -> millis <= untilMillis).count();
    }

    @Test
    void shouldLetEntriesThatWereToldTheSameEndReturnAtDifferentTimes() {
        Random random = new Random(40);
        long ends = LongStream.range(0, 16)
                .map(entry -> {
                    ServerPause other = ServerPause.none(random);
                    other.ask(Duration.ofSeconds(1), START);
                    return other.timeLeft(START).toMillis();
                })
                .distinct()
                .count();
        assertThat(ends).isGreaterThan(8);
    }
}
