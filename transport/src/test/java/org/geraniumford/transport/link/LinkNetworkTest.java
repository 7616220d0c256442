package org.geraniumford.transport.link;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.core.wire.Message;
import org.geraniumford.core.wire.Role;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class LinkNetworkTest {
    private static final int TIMEOUT_SECONDS = 30;

    private final Recorder server = new Recorder();
    private final Recorder client = new Recorder();
    private EventLoopGroup group;
    private LinkListener listener;

    @BeforeEach
    void start() {
        group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        listener = network("sidecar-1", Role.SIDECAR, 7)
                .listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), server)
                .join();
    }

    @AfterEach
    void stop() {
        listener.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    // -- messages

    @Test
    void shouldDeliverHelloAndThenMessagesInOrderWhenConnected() throws InterruptedException {
        network("entry-1", Role.ENTRY, 8).connect(listener.address(), client).join();
        Link link = client.links.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        LongStream.range(0, 100).forEach(id -> link.send(new Message.Ping(id)));
        assertThat(server.next().message()).isEqualTo(new Message.Hello("entry-1", Role.ENTRY, "kigali-a", ""));
        for (long id = 0; id < 100; id++) {
            Envelope envelope = server.next();
            // The Hello has the sequence number 1.
            assertThat(envelope).isEqualTo(new Envelope(8, id + 2, 8, new Message.Ping(id)));
        }
        assertThat(client.next().configurationVersion()).isEqualTo(7);
    }

    // -- broken frames and closed links

    /**
     * The first frame holds bytes that are no envelope, the second announces too large a length, the third is empty.
     */
    @ParameterizedTest
    @ValueSource(strings = {"\0\0\0\4junk", "\u007f\u007f\u007f\u007f", "\0\0\0\0"})
    void shouldCloseOnlyTheLinkOfThePeerWhenAFrameIsBroken(String bytes) throws Exception {
        try (Socket socket =
                new Socket(listener.address().getAddress(), listener.address().getPort())) {
            socket.getOutputStream().write(bytes.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1));
            assertThat(server.closed.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        } catch (IOException e) {
            assertThat(e).as("the peer may see a reset").isNotNull();
        }
        network("entry-1", Role.ENTRY, 8).connect(listener.address(), client).join();
        assertThat(server.next().message()).isInstanceOf(Message.Hello.class);
    }

    @Test
    void shouldReturnFalseWhenSendingOnAClosedLink() throws InterruptedException {
        network("entry-1", Role.ENTRY, 8).connect(listener.address(), client).join();
        Link link = client.links.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        link.close();
        assertThat(client.closed.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isFalse();
        assertThat(link.send(new Message.Ping(1))).isFalse();
    }

    // -- delivery by an executor

    /** Guards against a peer that sends faster than its messages are handled and fills the memory. */
    @Test
    void shouldDeliverAllMessagesInOrderWhenTheirDeliveryWaits() throws Exception {
        BlockingQueue<Runnable> waiting = new LinkedBlockingQueue<>();
        Message.Hello hello = new Message.Hello("slow", Role.ENTRY, "kigali-a", "");
        Recorder slow = new Recorder();
        EventLoop loop = group.next();
        try (LinkListener slowListener = LinkNetwork.of(loop, new LinkIdentity(hello, 1, () -> 1), waiting::add)
                .listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), slow)
                .join()) {
            network("entry-1", Role.ENTRY, 8)
                    .connect(slowListener.address(), client)
                    .join();
            Link link = client.links.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            String text = "x".repeat(100_000);
            LongStream.range(0, 1000)
                    .forEach(id -> link.send(new Message.ConfigurationResponse(id, 1, "digest", text)));
            Thread.sleep(300);
            assertThat(waiting).hasSizeLessThan(2 * LinkChannelHandler.MAX_UNDELIVERED_FRAMES);
            for (long number = 0; number <= 1000; number++) {
                Runnable delivery = waiting.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
                loop.submit(delivery).sync();
            }
            assertThat(slow.received)
                    .extracting(Envelope::sequence)
                    .isEqualTo(LongStream.rangeClosed(1, 1001).boxed().toList());
        }
    }

    // -- support

    /** Returns the network of a process whose configuration version equals its incarnation. */
    private LinkNetwork network(String id, Role role, long incarnation) {
        Message.Hello hello = new Message.Hello(id, role, "kigali-a", "");
        return LinkNetwork.of(group, new LinkIdentity(hello, incarnation, () -> incarnation));
    }

    private static final class Recorder implements LinkHandler {
        private final BlockingQueue<Link> links = new LinkedBlockingQueue<>();
        private final BlockingQueue<Envelope> received = new LinkedBlockingQueue<>();
        private final BlockingQueue<Boolean> closed = new LinkedBlockingQueue<>();

        Envelope next() throws InterruptedException {
            return received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }

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
            closed.add(broken);
        }
    }
}
