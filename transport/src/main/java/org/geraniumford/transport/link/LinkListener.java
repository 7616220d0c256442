package org.geraniumford.transport.link;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;

/** A listening socket that accepts links. */
public final class LinkListener implements AutoCloseable {
    private final Channel channel;

    LinkListener(Channel channel) {
        this.channel = channel;
    }

    // -- queries

    /**
     * Returns the address that the socket listens on.
     *
     * @return the bound address and port
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    // -- commands

    /** Stops accepting links; open ones stay open. */
    @Override
    public void close() {
        channel.close().awaitUninterruptibly();
    }
}
