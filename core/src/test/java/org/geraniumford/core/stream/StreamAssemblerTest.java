package org.geraniumford.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.Message;
import org.junit.jupiter.api.Test;

final class StreamAssemblerTest {
    private static final String SEED = "20261203";
    private static final AttemptId FIRST = new AttemptId("r", 1);
    private static final int OUTPUT_TOKENS = 30;

    // -- properties

    /**
     * The frames are of three attempts and of another request; they may be late, duplicated, overlapping or have gaps.
     */
    @Property(seed = SEED, tries = 2000)
    void shouldDeliverAPrefixOfTheResponseWhenArbitraryFramesArrive(@ForAll("frames") List<Message.Chunk> frames) {
        StreamAssembler assembler = StreamAssembler.start(FIRST);
        List<String> delivered = new ArrayList<>();
        for (Message.Chunk frame : frames) {
            StreamAssembler.Delivery delivery = assembler.accept(frame);
            assertThat(delivery.tokens().isEmpty()).isEqualTo(delivery.placement() != Placement.NEXT);
            delivered.addAll(delivery.tokens());
            assembler = delivery.placement() == Placement.GAP
                    ? assembler.resume(assembler.attemptId().next())
                    : delivery.assembler();
        }
        assertThat(delivered).isEqualTo(outputTokens(0, delivered.size()));
        assertThat(assembler.deliveredTokens()).isEqualTo(delivered.size());
    }

    /** The noise frames are of attempts 1 to 3 and of another request; the current attempt is 9. */
    @Property(seed = SEED, tries = 500)
    void shouldDeliverTheWholeResponseWhenTheCurrentAttemptSendsItInOrder(
            @ForAll("frames") List<Message.Chunk> evenNoise, @ForAll("frames") List<Message.Chunk> oddNoise) {
        StreamAssembler assembler = StreamAssembler.start(new AttemptId("r", 9));
        List<String> delivered = new ArrayList<>();
        for (int offset = 0; offset < OUTPUT_TOKENS; offset++) {
            List<Message.Chunk> noise = offset % 2 == 0 ? evenNoise : oddNoise;
            for (Message.Chunk frame : noise) {
                assertThat(assembler.accept(frame).tokens()).isEmpty();
            }
            Message.Chunk next = new Message.Chunk(assembler.attemptId(), offset, outputTokens(offset, offset + 1));
            StreamAssembler.Delivery delivery = assembler.accept(next);
            delivered.addAll(delivery.tokens());
            assembler = delivery.assembler();
        }
        assertThat(delivered).isEqualTo(outputTokens(0, OUTPUT_TOKENS));
    }

    @Provide
    Arbitrary<List<Message.Chunk>> frames() {
        Arbitrary<AttemptId> ids = Combinators.combine(
                        Arbitraries.frequencyOf(
                                net.jqwik.api.Tuple.of(9, Arbitraries.just("r")),
                                net.jqwik.api.Tuple.of(1, Arbitraries.just("other"))),
                        Arbitraries.integers().between(1, 3))
                .as(AttemptId::new);
        Arbitrary<Integer> offsets = Arbitraries.integers().between(0, OUTPUT_TOKENS - 1);
        Arbitrary<Integer> lengths = Arbitraries.integers().between(1, 6);
        return Combinators.combine(ids, offsets, lengths)
                .as((id, offset, length) -> new Message.Chunk(id, offset, outputTokens(offset, offset + length)))
                .list()
                .ofMaxSize(60);
    }

    // -- the terminal event

    @Test
    void shouldAcceptTheEndOnlyWhenItIsAtTheDeliveredOffsetOfTheCurrentAttempt() {
        StreamAssembler assembler = new StreamAssembler(FIRST, 5);
        assertThat(assembler.accept(end(FIRST, 5))).isEqualTo(Placement.NEXT);
        assertThat(assembler.accept(end(FIRST, 6))).isEqualTo(Placement.GAP);
        assertThat(assembler.accept(end(FIRST, 4))).isEqualTo(Placement.GAP);
        assertThat(assembler.accept(end(FIRST.next(), 5))).isEqualTo(Placement.STALE);
    }

    // -- support

    private static Message.End end(AttemptId id, int offset) {
        return new Message.End(id, offset, "stop", 1, 0);
    }

    private static List<String> outputTokens(int from, int to) {
        return IntStream.range(from, to).mapToObj(offset -> "t" + offset).toList();
    }
}
