package org.geraniumford.transport.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class ResponseMemoryTest {
    private static final int LIMIT_BYTES = 1000;

    private final ResponseMemory memory = ResponseMemory.ofLimit(LIMIT_BYTES);
    private final List<String> evicted = new ArrayList<>();

    private HeldBody body(String name) {
        return memory.newBody(() -> evicted.add(name));
    }

    private static ByteBuf bytes(int count) {
        return Unpooled.wrappedBuffer(new byte[count]);
    }

    @Test
    void shouldReturnTheBytesThatWereAppendedWhateverTheirChunks() {
        Random random = new Random(7);
        ResponseMemory large = ResponseMemory.ofLimit(10_000_000);
        for (int round = 0; round < 50; round++) {
            ByteArrayOutputStream expected = new ByteArrayOutputStream();
            HeldBody body = large.newBody(() -> {});
            for (int chunk = 0; chunk < 20; chunk++) {
                byte[] next = new byte[random.nextInt(round < 25 ? 10 : 40_000)];
                random.nextBytes(next);
                expected.writeBytes(next);
                body.append(Unpooled.wrappedBuffer(next));
            }
            assertThat(body.size()).isEqualTo(expected.size());
            ByteBuf whole = body.take();
            assertThat(ByteBufUtil.getBytes(whole)).isEqualTo(expected.toByteArray());
            whole.release();
        }
        assertThat(large.heldBytes()).isZero();
    }

    @Test
    void shouldEvictTheLargestBodyWhenTheLimitIsExceeded() {
        HeldBody small = body("small");
        HeldBody large = body("large");
        small.append(bytes(400));
        large.append(bytes(600));
        assertThat(evicted).isEmpty();
        small.append(bytes(1));
        assertThat(evicted).containsExactly("large");
        assertThat(memory.heldBytes()).isEqualTo(401);
        assertThat(memory.evictions()).isEqualTo(1);
        assertThat(small.size()).isEqualTo(401);
        assertThat(large.size()).isZero();
    }

    @Test
    void shouldEvictTheBodyThatGrowsWhenItIsTheLargest() {
        HeldBody body = body("growing");
        body.append(bytes(LIMIT_BYTES));
        body.append(bytes(1));
        body.append(bytes(1));
        assertThat(evicted).containsExactly("growing");
        assertThat(memory.heldBytes()).isZero();
    }

    @Test
    void shouldHoldNothingOfABodyThatHasEnded() {
        HeldBody released = body("released");
        HeldBody taken = body("taken");
        released.append(bytes(10));
        taken.append(bytes(20));
        released.release();
        released.release();
        taken.take().release();
        released.append(bytes(30));
        assertThat(taken.take().isReadable()).isFalse();
        assertThat(memory.heldBytes()).isZero();
        assertThat(evicted).isEmpty();
    }

    /** Guards against bytes that are charged for ever, or given back twice, in any order of the operations. */
    @Test
    void shouldHoldTheSumOfItsBodiesAfterAnyOperations() {
        Random random = new Random(11);
        List<HeldBody> bodies = new ArrayList<>();
        for (int step = 0; step < 10_000; step++) {
            int choice = random.nextInt(10);
            if (choice < 2 || bodies.isEmpty()) {
                bodies.add(body("any"));
            } else if (choice < 8) {
                bodies.get(random.nextInt(bodies.size())).append(bytes(random.nextInt(300)));
            } else if (choice < 9) {
                bodies.remove(random.nextInt(bodies.size())).release();
            } else {
                bodies.remove(random.nextInt(bodies.size())).take().release();
            }
            assertThat(memory.heldBytes())
                    .isEqualTo(bodies.stream().mapToLong(HeldBody::size).sum())
                    .isLessThanOrEqualTo(LIMIT_BYTES);
        }
    }

    @Test
    void shouldRejectALimitBelowOneByte() {
        assertThatThrownBy(() -> ResponseMemory.ofLimit(0)).isInstanceOf(IllegalArgumentException.class);
    }
}
