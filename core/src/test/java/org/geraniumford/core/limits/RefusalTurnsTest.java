package org.geraniumford.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.geraniumford.core.verdict.Refusal;
import org.junit.jupiter.api.Test;

final class RefusalTurnsTest {
    private static final Duration UNTIL_ROOM = Duration.ofMillis(300);
    private static final Duration TIME_LIMIT = Duration.ofMillis(6060);

    private final RefusalTurns turns = RefusalTurns.empty();

    private Duration refused(String customer, int priority, long nowNanos) {
        return turns.recordRefused(customer, priority, UNTIL_ROOM, 10, TIME_LIMIT, nowNanos);
    }

    /** Load: 18 refusals at once, room after 300 ms for 10 a second. Guards against callers that return together. */
    @Test
    void shouldSpreadTheCallersThatAreRefusedTogether() {
        List<Duration> told =
                IntStream.range(0, 18).mapToObj(number -> refused("a", 2, 0)).toList();
        assertThat(told).doesNotHaveDuplicates().startsWith(UNTIL_ROOM, Duration.ofMillis(400));
        assertThat(refused("a", 0, 0)).as("more urgent").isEqualTo(UNTIL_ROOM);
    }

    /** Load: 400 refusals at once. Guards against times for which no caller waits, and against none at all. */
    @Test
    void shouldStayWithinTheBoundsAndSpreadEvenlyWhenMoreAreRefusedThanCanReturnInTime() {
        Map<Duration, Long> callersByTime = IntStream.range(0, 400)
                .mapToObj(number -> refused("a", 2, 0))
                .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
        assertThat(callersByTime.keySet())
                .allSatisfy(told -> assertThat(told).isBetween(Refusal.MIN_RETRY_AFTER, TIME_LIMIT.dividedBy(3)));
        assertThat(callersByTime.values())
                .allSatisfy(callers -> assertThat(callers).isLessThan(30));
        assertThat(turns.recordRefused("a", 1, Duration.ZERO, 10, Duration.ofMillis(30), 0))
                .isEqualTo(Refusal.MIN_RETRY_AFTER);
    }

    /** Load: a refusal long after others. Guards against a queue that is not forgotten when its callers returned. */
    @Test
    void shouldStartAgainWhenTheCallersHaveReturned() {
        refused("a", 2, 0);
        refused("a", 2, 0);
        assertThat(refused("a", 2, Duration.ofSeconds(1).toNanos())).isEqualTo(UNTIL_ROOM);
    }

    /** Load: two customers, one refused. Guards against a customer that yields although nobody else waits. */
    @Test
    void shouldSayThatAnotherCustomerWaitsForAShortTime() {
        refused("a", 2, 0);
        assertThat(turns.isOtherWaiting("a", 2, 1)).isFalse();
        assertThat(turns.isOtherWaiting("b", 0, 1)).isFalse();
        assertThat(turns.isOtherWaiting("b", 2, 1)).isTrue();
        assertThat(turns.isOtherWaiting("b", 2, Duration.ofSeconds(1).toNanos()))
                .isFalse();
    }

    /** Load: 15 customers with 2 requests each, one at 7 times that. Guards against the refusal of the usual ones. */
    @Test
    void shouldFindOnlyTheCustomerFarAboveItsShare() {
        Map<String, Long> work = IntStream.range(0, 15)
                .boxed()
                .collect(Collectors.toMap(number -> "usual-" + number, number -> 2 * 899L));
        work.put("large", 14 * 899L);
        assertThat(CustomerShares.isFarAbove(work, "large")).isTrue();
        assertThat(CustomerShares.isFarAbove(work, "usual-3")).isFalse();
        assertThat(CustomerShares.isFarAbove(work, "without")).isFalse();
        assertThat(CustomerShares.isFarAbove(Map.of("large", 99_999L), "large")).isFalse();
    }
}
