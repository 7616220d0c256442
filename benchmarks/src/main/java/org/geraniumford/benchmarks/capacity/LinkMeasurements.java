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

/** Opens links on loopback, both ends in this process. */
final class LinkMeasurements {
    private static final long TIMEOUT_SECONDS = 30;
    private static final int WARM_UP_LINKS = 20;
    private static final int WARM_UP_MESSAGES = 200_000;
    private static final int BURST_MESSAGES = 10;
    private static final double NANOS_PER_MICRO = 1000;
    private static final OperatingSystemMXBean PROCESS =
            (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();

    private LinkMeasurements() {}

    /** Returns the live heap that one end of each of some number of idle links holds, in bytes. */
    static double heapBytesOfOneEnd(int links) {
        return withEventLoopGroup(group -> {
            open(group, WARM_UP_LINKS);
            long before = ResourceMeter.liveHeapBytes();
            List<Link> opened = open(group, links);
            try {
                return (ResourceMeter.liveHeapBytes() - before) / 2.0;
            } finally {
                Reference.reachabilityFence(opened);
            }
        });
    }

    /** Returns the processor time of both ends together for some number of messages on one link, in microseconds. */
    static double cpuMicrosForMessages(int messages) {
        return withEventLoopGroup(group -> {
            Message message = BenchmarkInputs.chunk(1).message();
            CountingHandler handler = new CountingHandler(message);
            Link link = open(group, handler, 1).get(0);
            handler.sendInBursts(link, WARM_UP_MESSAGES);
            long before = PROCESS.getProcessCpuTime();
            handler.sendInBursts(link, messages);
            return (PROCESS.getProcessCpuTime() - before) / NANOS_PER_MICRO;
        });
    }

    private static double withEventLoopGroup(ToDoubleFunction<EventLoopGroup> work) {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        try {
            return work.applyAsDouble(group);
        } finally {
            group.shutdownGracefully(0, TIMEOUT_SECONDS, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    private static List<Link> open(EventLoopGroup group, int links) {
        return open(group, new CountingHandler(new Message.Ping(1)), links);
    }

    /** Opens links and returns the opening ends, once each end has greeted the other. */
    private static List<Link> open(EventLoopGroup group, CountingHandler handler, int links) {
        Message.Hello hello = new Message.Hello("entry-1", Role.ENTRY, "domain-0", "");
        LinkNetwork network = LinkNetwork.of(group, new LinkIdentity(hello, 1, () -> 1));
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        LinkListener listener = network.listen(any, handler).join();
        List<Link> opened = new CopyOnWriteArrayList<>();
        handler.expect(2 * links);
        for (int link = 0; link < links; link++) {
            network.connect(listener.address(), handler.collectingHandler(opened))
                    .join();
        }
        handler.await();
        return opened;
    }

    /** Counts received messages; the connecting ends are collected. */
    private static final class CountingHandler implements LinkHandler {
        private final Message message;
        private volatile CountDownLatch latch = new CountDownLatch(0);

        CountingHandler(Message message) {
            this.message = message;
        }

        void expect(int expected) {
            latch = new CountDownLatch(expected);
        }

        void await() {
            try {
                if (!latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                    throw new IllegalStateException("messages did not arrive");
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException(e);
            }
        }

        /** Sends messages in bursts, each after the one before has arrived. */
        void sendInBursts(Link link, int messages) {
            for (int sent = 0; sent < messages; sent += BURST_MESSAGES) {
                expect(BURST_MESSAGES);
                for (int i = 0; i < BURST_MESSAGES; i++) {
                    link.send(message);
                }
                await();
            }
        }

        LinkHandler collectingHandler(List<Link> opened) {
            return new LinkHandler() {
                @Override
                public void opened(Link link) {
                    opened.add(link);
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
