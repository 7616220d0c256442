package org.geraniumford.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalInt;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class SendWindowTest {
    private static final long START_MILLIS = 86_400_000;
    private static final long STEP_MILLIS = 250;
    private static final long SPAN_MILLIS = 4000;

    private static SendWindow window(int entry, int entries, double rate) {
        return SendWindow.of(rate, EntryShare.of(0, OptionalInt.of(entries), (double) entry / entries));
    }

    private static boolean isOpenWithin(SendWindow window, long fromMillis) {
        return window.isOpen(fromMillis) || window.timeUntilNext(fromMillis).toMillis() < SPAN_MILLIS;
    }

    /** However long the entries had no requests before, and whenever requests come to all of them. */
    @ParameterizedTest
    @CsvSource({"8, 0.1", "8, 0.4", "8, 1.5", "36, 0.1", "36, 0.4", "36, 2", "36, 8", "410, 0.4", "410, 20"})
    void shouldLetFewEntriesSendInAnyFourSeconds(int entries, double rate) {
        long cycleMillis = (long) (1000 * entries / rate);
        for (long from = START_MILLIS; from < START_MILLIS + cycleMillis; from += STEP_MILLIS) {
            long now = from;
            long sending = IntStream.range(0, entries)
                    .filter(entry -> isOpenWithin(window(entry, entries, rate), now))
                    .count();
            assertThat((double) sending).isLessThanOrEqualTo(5 * rate + 4);
        }
    }

    /** Guards against entries that send in each other's turn, because their readings of the shared clock differ. */
    @ParameterizedTest
    @CsvSource({
        "8, 0.4, 500",
        "36, 0.4, 500",
        "36, 2, 500",
        "8, 0.4, 3000",
        "36, 0.4, 3000",
        "36, 2, 3000",
        "36, 8, 3000"
    })
    void shouldLetFewEntriesSendInAnyFourSecondsWhenTheirClocksAreBehind(int entries, double rate, long maxBehind) {
        long cycleMillis = (long) (1000 * entries / rate);
        Random random = new Random(1);
        long[] behindMillis = random.longs(entries, 0, maxBehind + 1).toArray();
        for (long from = START_MILLIS; from < START_MILLIS + cycleMillis; from += STEP_MILLIS) {
            long now = from;
            long sending = IntStream.range(0, entries)
                    .filter(entry -> isOpenWithin(window(entry, entries, rate), now - behindMillis[entry]))
                    .count();
            assertThat((double) sending).isLessThanOrEqualTo(5 * rate + 4);
        }
    }

    @ParameterizedTest
    @CsvSource({"8, 0.4", "36, 0.4", "36, 8"})
    void shouldGiveEveryEntryOneTurnInEachCycle(int entries, double rate) {
        long cycleMillis = (long) (1000 * entries / rate);
        for (int entry = 0; entry < entries; entry++) {
            SendWindow window = window(entry, entries, rate);
            assertThat(window.cycle(START_MILLIS + cycleMillis) - window.cycle(START_MILLIS))
                    .isBetween(0L, 2L);
            assertThat(window.timeUntilNext(START_MILLIS).toMillis()).isLessThanOrEqualTo(cycleMillis + 1);
        }
    }
}
