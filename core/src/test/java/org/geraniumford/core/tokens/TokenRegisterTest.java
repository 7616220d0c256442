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
import org.geraniumford.core.wire.TokenState;
import org.junit.jupiter.api.Test;

final class TokenRegisterTest {
    private static final long START = 1_000_000_000L;
    private static final Duration SKEW = Duration.ofSeconds(1);
    private static final long FRESH = START + 2_000_000;

    private final TokenRegister register = TokenRegister.start(START, SKEW, 3);

    @Test
    void shouldPassOnceWhenTokenComesTwice() {
        assertThat(register.pass("a", FRESH)).isEmpty();
        assertThat(register.pass("a", FRESH)).hasValueSatisfying(refusal -> {
            assertThat(refusal.reason()).isEqualTo(Reason.TOKEN_USED);
            assertThat(refusal.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        });
        assertThat(register.close("a", FRESH)).isEqualTo(TokenState.PASSED);
    }

    @Test
    void shouldNeverPassWhenTokenWasClosed() {
        assertThat(register.close("a", FRESH)).isEqualTo(TokenState.CLOSED);
        assertThat(register.close("a", FRESH)).isEqualTo(TokenState.CLOSED);
        assertThat(register.pass("a", FRESH)).hasValueSatisfying(refusal -> {
            assertThat(refusal.reason()).isEqualTo(Reason.TOKEN_CLOSED);
            assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
        });
    }

    @Test
    void shouldNotKnowWhenTokenMayBeOlderThanStart() {
        long withinSkew = START + SKEW.toNanos() / 1000 - 1;
        assertThat(register.close("a", withinSkew)).isEqualTo(TokenState.UNKNOWN);
        assertThat(register.pass("a", withinSkew))
                .hasValueSatisfying(refusal -> assertThat(refusal.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN));
        assertThat(register.close("b", withinSkew + 1)).isEqualTo(TokenState.CLOSED);
    }

    @Test
    void shouldNotKnowWhenTokenWasForgotten() {
        List.of("a", "b", "c", "d")
                .forEach(token -> assertThat(register.pass(token, FRESH + token.charAt(0)))
                        .isEmpty());
        assertThat(register.size()).isEqualTo(3);
        assertThat(register.close("a", FRESH + 'a')).isEqualTo(TokenState.UNKNOWN);
        assertThat(register.pass("a", FRESH + 'a')).isPresent();
        assertThat(register.close("b", FRESH + 'b')).isEqualTo(TokenState.PASSED);
    }

    @Property(seed = "11", tries = 500)
    void shouldPassEachTokenAtMostOnceWhenCallsRepeatInAnyOrder(
            @ForAll @Size(max = 60) List<@IntRange(min = 0, max = 15) Integer> calls,
            @ForAll @IntRange(min = 1, max = 8) int capacity) {
        TokenRegister small = TokenRegister.start(START, SKEW, capacity);
        Set<Integer> settled = new HashSet<>();
        for (int call : calls) {
            int token = call / 2;
            boolean granted = call % 2 == 0
                    ? small.pass("t" + token, FRESH + token).isEmpty()
                    : small.close("t" + token, FRESH + token) == TokenState.CLOSED && !settled.contains(token);
            if (call % 2 == 0 && granted) {
                assertThat(settled).doesNotContain(token);
            }
            if (granted) {
                settled.add(token);
            }
        }
    }
}
