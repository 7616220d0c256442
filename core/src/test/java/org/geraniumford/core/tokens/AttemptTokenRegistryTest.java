package org.geraniumford.core.tokens;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.AttemptTokenState;
import org.junit.jupiter.api.Test;

final class AttemptTokenRegistryTest {
    private static final long START_MICROS = 1_000_000_000L;
    private static final Duration SKEW = Duration.ofSeconds(1);
    private static final long FRESH_MICROS = START_MICROS + 2_000_000;

    private final AttemptTokenRegistry registry = AttemptTokenRegistry.start(START_MICROS, SKEW, 3);

    @Test
    void shouldAcceptTokenOnceWhenItIsUsedTwice() {
        assertThat(registry.tryUse("a", FRESH_MICROS)).isEmpty();
        assertThat(registry.tryUse("a", FRESH_MICROS)).hasValueSatisfying(refusal -> {
            assertThat(refusal.reason()).isEqualTo(Reason.TOKEN_USED);
            assertThat(refusal.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        });
        assertThat(registry.close("a", FRESH_MICROS)).isEqualTo(AttemptTokenState.PASSED);
    }

    @Test
    void shouldRefuseTokenWhenItWasClosed() {
        assertThat(registry.close("a", FRESH_MICROS)).isEqualTo(AttemptTokenState.CLOSED);
        assertThat(registry.close("a", FRESH_MICROS)).isEqualTo(AttemptTokenState.CLOSED);
        assertThat(registry.tryUse("a", FRESH_MICROS)).hasValueSatisfying(refusal -> {
            assertThat(refusal.reason()).isEqualTo(Reason.TOKEN_CLOSED);
            assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
        });
    }

    @Test
    void shouldReturnUnknownWhenTokenMayBeOlderThanStart() {
        long withinSkewMicros = START_MICROS + SKEW.toNanos() / 1000 - 1;
        assertThat(registry.close("a", withinSkewMicros)).isEqualTo(AttemptTokenState.UNKNOWN);
        assertThat(registry.tryUse("a", withinSkewMicros))
                .hasValueSatisfying(refusal -> assertThat(refusal.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN));
        assertThat(registry.close("b", withinSkewMicros + 1)).isEqualTo(AttemptTokenState.CLOSED);
    }

    @Test
    void shouldReturnUnknownWhenTokenWasEvicted() {
        List.of("a", "b", "c", "d")
                .forEach(token -> assertThat(registry.tryUse(token, FRESH_MICROS + token.charAt(0)))
                        .isEmpty());
        assertThat(registry.size()).isEqualTo(3);
        assertThat(registry.close("a", FRESH_MICROS + 'a')).isEqualTo(AttemptTokenState.UNKNOWN);
        assertThat(registry.tryUse("a", FRESH_MICROS + 'a')).isPresent();
        assertThat(registry.close("b", FRESH_MICROS + 'b')).isEqualTo(AttemptTokenState.PASSED);
    }

    /** Call {@code 2 * n} uses token {@code n}; call {@code 2 * n + 1} closes it. */
    @Property(seed = "11", tries = 500)
    void shouldAcceptEachTokenAtMostOnceWhenUsesAndClosesRepeatInAnyOrder(
            @ForAll @Size(max = 60) List<@IntRange(min = 0, max = 15) Integer> calls,
            @ForAll @IntRange(min = 1, max = 8) int capacity) {
        AttemptTokenRegistry smallRegistry = AttemptTokenRegistry.start(START_MICROS, SKEW, capacity);
        Set<Integer> usedOrClosed = new HashSet<>();
        for (int call : calls) {
            int token = call / 2;
            boolean firstUseOrClose = call % 2 == 0
                    ? smallRegistry.tryUse("t" + token, FRESH_MICROS + token).isEmpty()
                    : smallRegistry.close("t" + token, FRESH_MICROS + token) == AttemptTokenState.CLOSED
                            && !usedOrClosed.contains(token);
            if (call % 2 == 0 && firstUseOrClose) {
                assertThat(usedOrClosed).doesNotContain(token);
            }
            if (firstUseOrClose) {
                usedOrClosed.add(token);
            }
        }
    }
}
