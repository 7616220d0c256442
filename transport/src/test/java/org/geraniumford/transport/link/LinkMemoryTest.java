package org.geraniumford.transport.link;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.core.wire.Message;
import org.geraniumford.core.wire.Role;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against links whose messages use up the memory of a process together. */
final class LinkMemoryTest {
    private static final int LIMIT_BYTES = 1_000_000;

    private final LinkMemory memory = LinkMemory.ofLimit(LIMIT_BYTES);
    private final List<String> closed = new ArrayList<>();
    private final Peer sender = new Peer();
    private EventLoopGroup group;

    @BeforeEach
    void start() {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private LinkAccount open(String name) {
        return memory.open(() -> closed.add(name));
    }

    // -- accounts

    @Test
    void shouldCloseTheLinkThatHoldsMostWhenAllTogetherExceedTheLimit() {
        LinkAccount small = open("small");
        LinkAccount large = open("large");
        small.hold(300_000);
        large.hold(500_000);
        assertThat(closed).isEmpty();
        small.hold(300_000);
        assertThat(closed).containsExactly("small");
        assertThat(small.isOpen()).isFalse();
        assertThat(large.isOpen()).isTrue();
        assertThat(memory.heldBytes()).isEqualTo(500_000);
        assertThat(memory.evictions()).isEqualTo(1);
    }

    @Test
    void shouldCountNoBytesOfALinkOnceItIsClosed() {
        LinkAccount account = open("link");
        account.hold(100);
        account.close();
        account.release(100);
        account.hold(100);
        assertThat(memory.heldBytes()).isZero();
    }

    // -- links

    private void awaitNothingHeld() throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (memory.heldBytes() > 0 && System.nanoTime() < deadlineNanos) {
            Thread.sleep(5);
        }
        assertThat(memory.heldBytes()).isZero();
    }

    /** Records the events of its links. */
    private static final class Peer implements LinkHandler {
        private final BlockingQueue<Link> links = new LinkedBlockingQueue<>();
        private final BlockingQueue<Envelope> received = new LinkedBlockingQueue<>();
        private final BlockingQueue<Boolean> ended = new LinkedBlockingQueue<>();

        @Override
        public void opened(Link link) {
            links.add(link);
        }

        @Override
        public void received(Link link, Envelope envelope) {
            received.add(envelope);
        }

        @Override
        public void closed(Link link, boolean broken) {
            ended.add(broken);
        }
    }

    private static Message.ConfigurationResponse longMessage(long id) {
        return new Message.ConfigurationResponse(id, 1, "digest", "x".repeat(100_000));
    }

    /** Opens a link from a process of its own to one whose messages an executor delivers. */
    private Link connect(Executor delivery, Peer receiver) throws InterruptedException {
        Message.Hello hello = new Message.Hello("receiver", Role.ENTRY, "here", "");
        EventLoop loop = group.next();
        LinkListener listener = LinkNetwork.of(loop, new LinkIdentity(hello, 1, () -> 1), delivery, memory)
                .listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), receiver)
                .join();
        Message.Hello other = new Message.Hello("sender", Role.ENTRY, "here", "");
        LinkNetwork.of(loop, new LinkIdentity(other, 1, () -> 1))
                .connect(listener.address(), sender)
                .join();
        return sender.links.poll(5, TimeUnit.SECONDS);
    }

    @Test
    void shouldHoldNothingWhenAllMessagesAreDeliveredAndSent() throws InterruptedException {
        Peer receiver = new Peer();
        Link link = connect(Runnable::run, receiver);
        IntStream.range(0, 50).forEach(id -> link.send(longMessage(id)));
        Link back = receiver.links.poll(5, TimeUnit.SECONDS);
        IntStream.range(0, 5).forEach(id -> back.send(longMessage(id)));
        for (int message = 0; message < 51; message++) {
            assertThat(receiver.received.poll(5, TimeUnit.SECONDS)).isNotNull();
        }
        awaitNothingHeld();
        assertThat(memory.evictions()).isZero();
    }

    @Test
    void shouldCloseALinkAndDropItsMessagesWhenTooManyOfThemWaitForDelivery() throws InterruptedException {
        BlockingQueue<Runnable> waiting = new LinkedBlockingQueue<>();
        Peer receiver = new Peer();
        Link link = connect(waiting::add, receiver);
        IntStream.range(0, 20).forEach(id -> link.send(longMessage(id)));
        assertThat(receiver.ended.poll(5, TimeUnit.SECONDS)).isFalse();
        assertThat(memory.heldBytes()).isZero();
        assertThat(memory.evictions()).isEqualTo(1);
        waiting.forEach(Runnable::run);
        assertThat(receiver.received).isEmpty();
    }

    @Test
    void shouldSendOnlyShortMessagesWhileMemoryIsScarce() throws InterruptedException {
        Peer receiver = new Peer();
        connect(Runnable::run, receiver);
        Link back = receiver.links.poll(5, TimeUnit.SECONDS);
        LinkAccount other = open("other");
        other.hold(LIMIT_BYTES / 10 * 8);
        back.send(longMessage(1));
        back.send(new Message.Ping(2));
        assertThat(sender.received.poll(5, TimeUnit.SECONDS).message()).isInstanceOf(Message.Hello.class);
        assertThat(sender.received.poll(5, TimeUnit.SECONDS).message()).isEqualTo(new Message.Ping(2));
        other.close();
        back.send(longMessage(3));
        assertThat(sender.received.poll(5, TimeUnit.SECONDS).message()).isEqualTo(longMessage(3));
    }
}
