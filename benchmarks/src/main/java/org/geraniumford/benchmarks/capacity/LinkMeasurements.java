package org.geraniumford.benchmarks.capacity;

import com.sun.management.OperatingSystemMXBean;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.core.wire.Message;
import org.geraniumford.core.wire.Role;
import org.geraniumford.transport.link.Link;
import org.geraniumford.transport.link.LinkHandler;
import org.geraniumford.transport.link.LinkIdentity;
import org.geraniumford.transport.link.LinkListener;
import org.geraniumford.transport.link.LinkNetwork;

/** Measures heap and processor time of links on loopback; both ends of each link are in this process. */
final class LinkMeasurements {
    private static final long TIMEOUT_SECONDS = 30;
    private static final int WARM_UP_LINKS = 20;
    private static final int WARM_UP_MESSAGES = 200_000;
    private static final int BURST_MESSAGES = 10;
    private static final double NANOS_PER_MICRO = 1000;
    private static final OperatingSystemMXBean PROCESS =
            (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();

    private LinkMeasurements() {}

    /**
     * Returns the live heap that idle links occupy at one end.
     *
     * @param links the number of links
     * @return half of the growth of the live heap, in bytes, because both ends are in this process
     */
    static double heapBytesOfOneEnd(int links) {
        return withEventLoopGroup(group -> {
            open(group, WARM_UP_LINKS);
            long bytesBefore = ResourceMeter.liveHeapBytes();
            List<Link> openedLinks = open(group, links);
            try {
                return (ResourceMeter.liveHeapBytes() - bytesBefore) / 2.0;
            } finally {
                Reference.reachabilityFence(openedLinks);
            }
        });
    }

    /**
     * Returns the processor time for sending and receiving messages on one link.
     *
     * @param messages the number of messages; rounded up to a multiple of {@link #BURST_MESSAGES}
     * @return the processor time of both ends together, in microseconds
     */
    static double cpuMicrosForMessages(int messages) {
        return withEventLoopGroup(group -> {
            Message message = BenchmarkInputs.chunk(1).message();
            CountingHandler handler = new CountingHandler(message);
            Link link = open(group, handler, 1).get(0);
            handler.sendInBursts(link, WARM_UP_MESSAGES);
            long nanosBefore = PROCESS.getProcessCpuTime();
            handler.sendInBursts(link, messages);
            return (PROCESS.getProcessCpuTime() - nanosBefore) / NANOS_PER_MICRO;
        });
    }

    private static double withEventLoopGroup(ToDoubleFunction<EventLoopGroup> measurement) {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        try {
            return measurement.applyAsDouble(group);
        } finally {
            group.shutdownGracefully(0, TIMEOUT_SECONDS, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    private static List<Link> open(EventLoopGroup group, int links) {
        return open(group, new CountingHandler(new Message.Ping(1)), links);
    }

    /** Opens links and returns their connecting ends after every end has received the hello of the other. */
    private static List<Link> open(EventLoopGroup group, CountingHandler handler, int links) {
        Message.Hello hello = new Message.Hello("entry-1", Role.ENTRY, "domain-0", "");
        LinkNetwork network = LinkNetwork.of(group, new LinkIdentity(hello, 1, () -> 1));
        InetSocketAddress ephemeralPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        LinkListener listener = network.listen(ephemeralPort, handler).join();
        List<Link> openedLinks = new CopyOnWriteArrayList<>();
        handler.expect(2 * links);
        for (int link = 0; link < links; link++) {
            network.connect(listener.address(), handler.collectingHandler(openedLinks))
                    .join();
        }
        handler.await();
        return openedLinks;
    }

    /**
     * Sends copies of one message and counts received messages, so that a caller can wait for an expected number of
     * them. Messages that are received by the handlers of {@link #collectingHandler} count too.
     */
    private static final class CountingHandler implements LinkHandler {
        private final Message message;
        private volatile CountDownLatch latch = new CountDownLatch(0);

        CountingHandler(Message message) {
            this.message = message;
        }

        /** Starts a new count; {@link #await} then waits until this number of messages was received. */
        void expect(int messages) {
            latch = new CountDownLatch(messages);
        }

        void await() {
            try {
                if (!latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                    throw new IllegalStateException("link messages did not arrive within the timeout");
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException(e);
            }
        }

        /** Sends messages in bursts; each burst starts after all messages of the previous burst have arrived. */
        void sendInBursts(Link link, int messages) {
            for (int sentCount = 0; sentCount < messages; sentCount += BURST_MESSAGES) {
                expect(BURST_MESSAGES);
                for (int i = 0; i < BURST_MESSAGES; i++) {
                    link.send(message);
                }
                await();
            }
        }

        /** Returns a handler that adds each opened link to the list and counts received messages in this handler. */
        LinkHandler collectingHandler(List<Link> openedLinks) {
            return new LinkHandler() {
                @Override
                public void opened(Link link) {
                    openedLinks.add(link);
                }

                @Override
                public void received(Link link, Envelope envelope) {
                    latch.countDown();
                }

                @Override
                public void closed(Link link, boolean broken) {}
            };
        }

        @Override
        public void opened(Link link) {}

        @Override
        public void received(Link link, Envelope envelope) {
            latch.countDown();
        }

        @Override
        public void closed(Link link, boolean broken) {}
    }
}
