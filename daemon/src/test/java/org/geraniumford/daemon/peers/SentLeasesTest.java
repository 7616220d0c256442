package org.geraniumford.daemon.peers;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.geraniumford.core.weights.LeaseSnapshot;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.core.wire.Message;
import org.geraniumford.core.wire.Role;
import org.geraniumford.transport.link.Link;
import org.geraniumford.transport.link.LinkHandler;
import org.geraniumford.transport.link.LinkIdentity;
import org.geraniumford.transport.link.LinkListener;
import org.geraniumford.transport.link.LinkNetwork;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class SentLeasesTest {
    private static final LeaseSnapshot FIRST = new LeaseSnapshot(1, "first");
    private static final LeaseSnapshot SECOND = new LeaseSnapshot(2, "second");

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<Link> opened = new LinkedBlockingQueue<>();
    private final SentLeases sentLeases = SentLeases.empty();
    private Link link;
    private Link otherLink;

    /** Opens one connection, whose two ends are two links. */
    @BeforeEach
    void openLinks() throws Exception {
        LinkNetwork network =
                LinkNetwork.of(group, new LinkIdentity(new Message.Hello("host", Role.ENTRY, "here", ""), 1, () -> 0));
        LinkListener listener = network.listen(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), new OpenedLinks())
                .join();
        network.connect(listener.address(), new OpenedLinks()).join();
        link = opened.poll(10, TimeUnit.SECONDS);
        otherLink = opened.poll(10, TimeUnit.SECONDS);
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Guards against filling the network links of small hosts with the same lease during a rollout. */
    @Test
    void shouldSendALeaseOnceOnEachLinkUntilItChanges() {
        assertThat(sentLeases.isDue(link, FIRST)).isTrue();
        assertThat(sentLeases.isDue(link, FIRST)).isFalse();
        assertThat(sentLeases.isDue(otherLink, FIRST)).isTrue();
        assertThat(sentLeases.isDue(link, SECOND)).isTrue();
        assertThat(sentLeases.isDue(link, SECOND)).isFalse();
    }

    @Test
    void shouldSendALeaseAgainWhenTheLinkIsNew() {
        sentLeases.isDue(link, FIRST);
        sentLeases.remove(link);
        assertThat(sentLeases.isDue(link, FIRST)).isTrue();
    }

    private final class OpenedLinks implements LinkHandler {
        @Override
        public void opened(Link newLink) {
            opened.add(newLink);
        }

        @Override
        public void received(Link from, Envelope envelope) {
            // Messages are not part of these tests.
        }

        @Override
        public void closed(Link ended, boolean broken) {
            // The links are closed with their group.
        }
    }
}
