package org.geraniumford.trials.deployment;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.geraniumford.core.membership.Host;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.core.wire.Message;
import org.geraniumford.core.wire.Role;
import org.geraniumford.transport.link.Link;
import org.geraniumford.transport.link.LinkHandler;
import org.geraniumford.transport.link.LinkIdentity;
import org.geraniumford.transport.link.LinkNetwork;

/** Reads the host lists that daemons hold, as a starting entry does when the platform does not respond. */
final class HostListReader implements AutoCloseable {
    private static final int RESPONSE_TIMEOUT_SECONDS = 10;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final LinkNetwork network = LinkNetwork.of(
            group, new LinkIdentity(new Message.Hello("host-list-reader", Role.OPERATOR, "", ""), 1, () -> 0));

    // -- queries

    /**
     * Returns the list that a daemon holds.
     *
     * @param linkAddress the daemon's link address, as host and port
     * @return the hosts
     * @throws java.util.concurrent.CompletionException if the daemon does not respond within 10 s
     */
    List<Host> hosts(String linkAddress) {
        int colon = linkAddress.lastIndexOf(':');
        InetSocketAddress address = new InetSocketAddress(
                linkAddress.substring(0, colon), Integer.parseInt(linkAddress.substring(colon + 1)));
        Exchange exchange = new Exchange();
        return network.connect(address, exchange)
                .thenCompose(connected -> exchange.response)
                .orTimeout(RESPONSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .join();
    }

    // -- commands

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** Sends one request on a link and closes the link after the response. */
    private static final class Exchange implements LinkHandler {
        private final CompletableFuture<List<Host>> response = new CompletableFuture<>();

        @Override
        public void opened(Link link) {
            link.send(new Message.HostListRequest(1));
        }

        @Override
        public void received(Link link, Envelope envelope) {
            if (envelope.message() instanceof Message.HostListResponse hostList) {
                response.complete(hostList.hosts());
                link.close();
            }
        }

        @Override
        public void closed(Link link, boolean broken) {
            response.completeExceptionally(new IllegalStateException("the link closed before the response"));
        }
    }
}
