package org.geraniumford.transport.http;

import static java.util.Objects.requireNonNull;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/** A server of HTTP/1.1 and, by prior knowledge or upgrade, of HTTP/2 without TLS. */
public final class HttpServer implements AutoCloseable {
    private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(32 * 1024, 128 * 1024);

    private final Channel channel;
    private final ChannelGroup connections;

    private HttpServer(Channel channel, ChannelGroup connections) {
        this.channel = channel;
        this.connections = connections;
    }

    // -- construction

    /**
     * Starts a server.
     *
     * @param group the network threads; shut down by their owner
     * @param address the address to listen on; port 0 selects a free port
     * @param limits the limits of requests and connections
     * @param service handles the requests
     * @return the listening server, or the failure to bind
     */
    public static CompletableFuture<HttpServer> start(
            EventLoopGroup group, InetSocketAddress address, HttpLimits limits, HttpService service) {
        requireNonNull(limits, "limits is null");
        requireNonNull(service, "service is null");
        ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                        accept(accepted, limits, service, connections);
                    }
                });
        ChannelFuture bound = bootstrap.bind(address);
        CompletableFuture<HttpServer> completion = new CompletableFuture<>();
        bound.addListener(done -> {
            if (done.isSuccess()) {
                completion.complete(new HttpServer(bound.channel(), connections));
            } else {
                completion.completeExceptionally(done.cause());
            }
        });
        return completion;
    }

    private static void accept(
            SocketChannel accepted, HttpLimits limits, HttpService service, ChannelGroup connections) {
        if (connections.size() >= limits.maxConnections()) {
            accepted.close();
            return;
        }
        connections.add(accepted);
        HttpPipeline.of(limits, service).addTo(accepted.pipeline());
    }

    // -- queries

    /**
     * Returns the address that the server listens on.
     *
     * @return the bound address and port
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    // -- commands

    /** Closes all open connections; new ones are still accepted. */
    public void closeConnections() {
        connections.close();
    }

    /** Stops accepting connections; open ones stay open. */
    @Override
    public void close() {
        channel.close().awaitUninterruptibly();
    }
}
