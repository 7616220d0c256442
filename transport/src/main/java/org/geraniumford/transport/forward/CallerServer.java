package org.geraniumford.transport.forward;

import static java.util.Objects.requireNonNull;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntConsumer;
import java.util.function.Supplier;
import org.geraniumford.core.service.CallerLimits;

/** The socket for callers. Its connections run on one network thread. */
public final class CallerServer implements AutoCloseable {
    private static final int BACKLOG_CONNECTIONS = 1024;
    private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(32 * 1024, 128 * 1024);

    private final Set<CallerConnection> connections = new LinkedHashSet<>();
    private final IntConsumer rejectionListener;
    private Channel channel;
    private boolean isClosing;

    private CallerServer(IntConsumer rejectionListener) {
        this.rejectionListener = rejectionListener;
    }

    // -- construction

    /**
     * Starts a server.
     *
     * @param group the network thread
     * @param address where to listen; port 0 takes a free one
     * @param limits supplies the bounds on callers in force
     * @param handler answers the requests
     * @param rejectionListener takes the status of each request that is refused before it is complete
     * @return the listening server, or the failure to bind
     */
    public static CompletableFuture<CallerServer> start(
            EventLoopGroup group,
            InetSocketAddress address,
            Supplier<CallerLimits> limits,
            CallerHandler handler,
            IntConsumer rejectionListener) {
        requireNonNull(limits, "limits is null");
        requireNonNull(handler, "handler is null");
        CallerServer server = new CallerServer(requireNonNull(rejectionListener, "rejectionListener is null"));
        ChannelFuture binding = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG_CONNECTIONS)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                        server.accept(accepted, limits, handler);
                    }
                })
                .bind(address);
        CompletableFuture<CallerServer> completion = new CompletableFuture<>();
        binding.addListener(done -> {
            if (done.isSuccess()) {
                server.channel = binding.channel();
                completion.complete(server);
            } else {
                completion.completeExceptionally(done.cause());
            }
        });
        return completion;
    }

    private void accept(SocketChannel accepted, Supplier<CallerLimits> limits, CallerHandler handler) {
        CallerConnection connection = new CallerConnection(limits, handler, this);
        connections.add(connection);
        HttpDecoderConfig decoding = new HttpDecoderConfig()
                .setMaxInitialLineLength(limits.get().maxHeaderBytes())
                .setMaxHeaderSize(limits.get().maxHeaderBytes());
        accepted.pipeline()
                .addLast(new HttpRequestDecoder(decoding))
                .addLast(new HttpResponseEncoder())
                .addLast(connection);
    }

    // -- queries

    /**
     * Returns where the server listens.
     *
     * @return the bound address and port
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /**
     * Returns how many connections are open.
     *
     * @return a count
     */
    public int connections() {
        return connections.size();
    }

    boolean isClosing() {
        return isClosing;
    }

    // -- commands

    /** Has each connection closed after its next answer. */
    public void closeAfterResponses() {
        isClosing = true;
    }

    /** Closes the connections that carry no request. */
    public void closeIdleConnections() {
        List.copyOf(connections).forEach(CallerConnection::closeIfIdle);
    }

    /** Stops accepting connections; open ones stay open. */
    @Override
    public void close() {
        channel.close();
    }

    void closed(CallerConnection connection) {
        connections.remove(connection);
    }

    void rejected(int status) {
        rejectionListener.accept(status);
    }
}
