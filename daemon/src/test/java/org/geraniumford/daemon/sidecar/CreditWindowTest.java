package org.geraniumford.daemon.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.geraniumford.core.prefix.CacheScope;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.Message;

/** Guards against tokens that are lost, sent twice, out of order or beyond the peer's credit. */
final class CreditWindowTest {
    /**
     * A step above 0 extends the credit to that many tokens beyond those sent. Steps 0 and -1 add the next token; steps
     * -2 and -3 add a token with a wrong offset.
     */
    @Property(seed = "17", tries = 500)
    void shouldSendEachTokenOnceInOrderWithinCreditWhenTokensAndCreditsInterleave(
            @ForAll @IntRange(max = 20) int resumeOffset,
            @ForAll @IntRange(max = 10) int credit,
            @ForAll @Size(max = 60) List<@IntRange(min = -3, max = 4) Integer> steps) {
        CreditWindow window = CreditWindow.of(submit(resumeOffset, credit));
        List<String> sent = new ArrayList<>();
        int creditOffset = resumeOffset + credit;
        for (int step : steps) {
            if (step <= 0) {
                int offset = window.nextOffset() + (step < -1 ? step : 0);
                assertThat(window.add(offset, "t" + offset)).isEqualTo(step >= -1);
            } else {
                creditOffset = Math.max(creditOffset, resumeOffset + sent.size() + step);
                window.extendCredit(resumeOffset + sent.size() + step);
            }
            window.takeSendable().ifPresent(chunk -> {
                assertThat(chunk.offset()).isEqualTo(resumeOffset + sent.size());
                sent.addAll(chunk.tokens());
            });
            assertThat(resumeOffset + sent.size()).isLessThanOrEqualTo(creditOffset);
            assertThat(window.isEmpty()).isEqualTo(window.nextOffset() == resumeOffset + sent.size());
            assertThat(window.isEmpty() || resumeOffset + sent.size() == creditOffset)
                    .isTrue();
        }
        for (int i = 0; i < sent.size(); i++) {
            assertThat(sent.get(i)).isEqualTo("t" + (resumeOffset + i));
        }
    }

    private static Message.Submit submit(int resumeOffset, int credit) {
        return new Message.Submit(
                new AttemptId("r1", 1),
                "model-1",
                new CacheScope("amahoro", "weights-1", ""),
                "check",
                0,
                1,
                1,
                0,
                List.of(),
                "",
                100,
                resumeOffset,
                credit);
    }
}
