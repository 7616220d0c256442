package org.geraniumford.daemon.peers;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.core.wire.Message;
import org.geraniumford.core.wire.Role;
import org.geraniumford.transport.link.Link;
import org.geraniumford.transport.link.LinkHandler;
import org.geraniumford.transport.link.LinkIdentity;
import org.geraniumford.transport.link.LinkListener;
import org.geraniumford.transport.link.LinkNetwork;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a restarted peer whose messages are ignored, because its clock was set back meanwhile. */
final class PeerLinksTest {
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final Duration SILENCE = Duration.ofSeconds(3);

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<Link> accepted = new LinkedBlockingQueue<>();
    private final PeerConnectors connectors =
            PeerConnectors.empty(new InetSocketAddress(1), address -> new CompletableFuture<>());
    private final PeerLinks links = new PeerLinks("host", connectors);

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private Link open(LinkListener listener) throws InterruptedException {
        network("peer").connect(listener.address(), new Ignoring()).join();
        Link link = accepted.poll(5, TimeUnit.SECONDS);
        links.opened(link);
        return link;
    }

    private LinkNetwork network(String host) {
        Message.Hello hello = new Message.Hello(host, Role.ENTRY, "here", "");
        return LinkNetwork.of(group, new LinkIdentity(hello, 1, () -> 1), Runnable::run);
    }

    private LinkListener listen() {
        return network("host").listen(ANY_PORT, new Accepting()).join();
    }

    /** The link to the process that has ended counts until it has been silent for 2.5 s, or its end is heard of. */
    @Test
    void shouldKeepANewLinkToThePeerOnceTheEarlierOneIsClosed() throws InterruptedException {
        LinkListener listener = listen();
        Link before = open(listener);
        links.named(before, "peer", 2000);
        links.closeSilent(System.nanoTime() + SILENCE.toNanos());
        links.closed(before);
        Link after = open(listener);
        links.named(after, "peer", 1000);
        assertThat(links.toPeers()).containsExactly(after);
    }

    // -- stand-ins

    private final class Accepting implements LinkHandler {
        @Override
        public void opened(Link link) {
            accepted.add(link);
        }

        @Override
        public void received(Link link, Envelope envelope) {
            // The test tells the names itself.
        }

        @Override
        public void closed(Link link, boolean broken) {
            // The test closes links itself.
        }
    }

    private static final class Ignoring implements LinkHandler {
        @Override
        public void opened(Link link) {
            // The other end is looked at.
        }

        @Override
        public void received(Link link, Envelope envelope) {
            // The other end is looked at.
        }

        @Override
        public void closed(Link link, boolean broken) {
            // The other end is looked at.
        }
    }
}
