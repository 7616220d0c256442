package org.geraniumford.core.quarantine;

import java.time.Duration;
import java.util.List;

/** How long requests with a segment are held, by the number of ends that count against the segment. */
final class HoldTimes {
    /** From this count on, requests with the segment are held. A single end may have any cause. */
    static final int FIRST_HELD_COUNT = 2;

    /**
     * The times from count 2 on; the last one holds for all larger counts. They grow so fast that, after the first five
     * ends, a bad segment reaches engines no more than three times within a day.
     */
    private static final List<Duration> FROM_FIRST_HELD_COUNT = List.of(
            Duration.ofSeconds(2),
            Duration.ofSeconds(60),
            Duration.ofMinutes(10),
            Duration.ofHours(2),
            Duration.ofHours(24));

    private HoldTimes() {}

    static boolean isHeld(int count) {
        return count >= FIRST_HELD_COUNT;
    }

    static Duration of(int count) {
        if (!isHeld(count)) {
            return Duration.ZERO;
        }
        int index = Math.min(count - FIRST_HELD_COUNT, FROM_FIRST_HELD_COUNT.size() - 1);
        return FROM_FIRST_HELD_COUNT.get(index);
    }
}
