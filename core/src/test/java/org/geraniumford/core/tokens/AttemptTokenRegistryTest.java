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

    private final AttemptTokenRegistry register = AttemptTokenRegistry.start(START_MICROS, SKEW, 3);

    @Test
    void shouldPassOnceWhenTokenComesTwice() {
        assertThat(register.tryUse("a", FRESH_MICROS)).isEmpty();
        assertThat(register.tryUse("a", FRESH_MICROS)).hasValueSatisfying(refusal -> {
            assertThat(refusal.reason()).isEqualTo(Reason.TOKEN_USED);
            assertThat(refusal.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        });
        assertThat(register.close("a", FRESH_MICROS)).isEqualTo(AttemptTokenState.PASSED);
    }

    @Test
    void shouldNeverPassWhenTokenWasClosed() {
        assertThat(register.close("a", FRESH_MICROS)).isEqualTo(AttemptTokenState.CLOSED);
        assertThat(register.close("a", FRESH_MICROS)).isEqualTo(AttemptTokenState.CLOSED);
        assertThat(register.tryUse("a", FRESH_MICROS)).hasValueSatisfying(refusal -> {
            assertThat(refusal.reason()).isEqualTo(Reason.TOKEN_CLOSED);
            assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
        });
    }

    @Test
    void shouldNotKnowWhenTokenMayBeOlderThanStart() {
        long withinSkew = START_MICROS + SKEW.toNanos() / 1000 - 1;
        assertThat(register.close("a", withinSkew)).isEqualTo(AttemptTokenState.UNKNOWN);
        assertThat(register.tryUse("a", withinSkew))
                .hasValueSatisfying(refusal -> assertThat(refusal.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN));
        assertThat(register.close("b", withinSkew + 1)).isEqualTo(AttemptTokenState.CLOSED);
    }

    @Test
    void shouldNotKnowWhenTokenWasForgotten() {
        List.of("a", "b", "c", "d")
                .forEach(token -> assertThat(register.tryUse(token, FRESH_MICROS + token.charAt(0)))
                        .isEmpty());
        assertThat(register.size()).isEqualTo(3);
        assertThat(register.close("a", FRESH_MICROS + 'a')).isEqualTo(AttemptTokenState.UNKNOWN);
        assertThat(register.tryUse("a", FRESH_MICROS + 'a')).isPresent();
        assertThat(register.close("b", FRESH_MICROS + 'b')).isEqualTo(AttemptTokenState.PASSED);
    }

    @Property(seed = "11", tries = 500)
    void shouldPassEachTokenAtMostOnceWhenCallsRepeatInAnyOrder(
            @ForAll @Size(max = 60) List<@IntRange(min = 0, max = 15) Integer> calls,
            @ForAll @IntRange(min = 1, max = 8) int capacity) {
        AttemptTokenRegistry small = AttemptTokenRegistry.start(START_MICROS, SKEW, capacity);
        Set<Integer> settled = new HashSet<>();
        for (int call : calls) {
            int token = call / 2;
            boolean granted = call % 2 == 0
                    ? small.tryUse("t" + token, FRESH_MICROS + token).isEmpty()
                    : small.close("t" + token, FRESH_MICROS + token) == AttemptTokenState.CLOSED
                            && !settled.contains(token);
            if (call % 2 == 0 && granted) {
                assertThat(settled).doesNotContain(token);
            }
            if (granted) {
                settled.add(token);
            }
        }
    }
}
