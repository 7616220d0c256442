package org.geraniumford.transport.engine;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.URI;
import java.util.concurrent.CompletableFuture;

/** Checks whether a backend server accepts connections. */
public final class PortCheck {
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int HTTP_PORT = 80;

    private PortCheck() {}

    /**
     * Opens a connection to a backend server and closes it immediately.
     *
     * @param group the network threads
     * @param backend the backend server's base address; the port is 80 if it names none
     * @return true if the connection was accepted, false if it failed or took longer than 500 ms
     */
    public static CompletableFuture<Boolean> accepts(EventLoopGroup group, URI backend) {
        ChannelFuture connected = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(backend.getHost(), backend.getPort() < 0 ? HTTP_PORT : backend.getPort());
        CompletableFuture<Boolean> accepted = new CompletableFuture<>();
        connected.addListener(done -> {
            connected.channel().close();
            accepted.complete(done.isSuccess());
        });
        return accepted;
    }
}
