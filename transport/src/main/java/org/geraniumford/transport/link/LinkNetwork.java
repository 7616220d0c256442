package org.geraniumford.transport.link;

import static java.util.Objects.requireNonNull;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.ssl.SslHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.LongAdder;

/** Opens and accepts the links of one process. */
public final class LinkNetwork {
    private static final int MAX_CONSOLIDATED_FLUSHES = 64;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    private final EventLoopGroup group;
    private final LinkIdentity identity;
    private final Optional<LinkTls> tls;
    private final Executor delivery;
    private final LinkMemory memory;
    private final LongAdder sentBytes = new LongAdder();

    private LinkNetwork(
            EventLoopGroup group, LinkIdentity identity, Optional<LinkTls> tls, Executor delivery, LinkMemory memory) {
        this.group = group;
        this.identity = identity;
        this.tls = tls;
        this.delivery = delivery;
        this.memory = memory;
    }

    // -- construction

    /**
     * Creates a network of connections without TLS.
     *
     * @param group the network threads; shut down by their owner
     * @param identity the identity that the process presents to its peers
     * @return a network without links
     */
    public static LinkNetwork of(EventLoopGroup group, LinkIdentity identity) {
        return of(group, identity, Optional.empty());
    }

    /**
     * Creates a network of connections without TLS whose messages are delivered by an executor.
     *
     * @param group the network threads; shut down by their owner
     * @param identity the identity that the process presents to its peers
     * @param delivery decodes and delivers the messages, on the network thread of their link and in order; a link is
     *     not read on while {@value LinkChannelHandler#MAX_UNDELIVERED_FRAMES} of its messages wait, and those that
     *     wait when it ends are dropped
     * @return a network without links
     */
    public static LinkNetwork of(EventLoopGroup group, LinkIdentity identity, Executor delivery) {
        return of(group, identity, delivery, LinkMemory.ofHeap());
    }

    /**
     * Creates a network as {@link #of(EventLoopGroup, LinkIdentity, Executor)} does.
     *
     * @param group the network threads; shut down by their owner
     * @param identity the identity that the process presents to its peers
     * @param delivery decodes and delivers the messages
     * @param memory the account of the bytes that the links hold
     * @return a network without links
     */
    public static LinkNetwork of(EventLoopGroup group, LinkIdentity identity, Executor delivery, LinkMemory memory) {
        return new LinkNetwork(
                requireNonNull(group, "group is null"),
                requireNonNull(identity, "identity is null"),
                Optional.empty(),
                requireNonNull(delivery, "delivery is null"),
                requireNonNull(memory, "memory is null"));
    }

    /**
     * Creates a network.
     *
     * @param group the network threads; shut down by their owner
     * @param identity the identity that the process presents to its peers
     * @param tls authenticates and encrypts the connections; empty for connections without TLS
     * @return a network without links
     */
    public static LinkNetwork of(EventLoopGroup group, LinkIdentity identity, Optional<LinkTls> tls) {
        requireNonNull(group, "group is null");
        requireNonNull(identity, "identity is null");
        return new LinkNetwork(group, identity, requireNonNull(tls, "tls is null"), Runnable::run, LinkMemory.ofHeap());
    }

    // -- commands

    /**
     * Listens for links.
     *
     * @param address the address to listen on; port 0 selects a free port
     * @param handler receives the events of the accepted links
     * @return the listening socket, or the failure to bind
     */
    public CompletableFuture<LinkListener> listen(InetSocketAddress address, LinkHandler handler) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(initializer(handler, true));
        return completion(bootstrap.bind(address)).thenApply(LinkListener::new);
    }

    /**
     * Opens a link. Once it is open, {@link LinkHandler#opened} is called.
     *
     * @param address the peer's link address
     * @param handler receives the events of the link
     * @return completes once the connection is open and, with TLS, the peer is authenticated; fails if no connection
     *     can be opened within 500 ms, or if the TLS handshake fails
     */
    public CompletableFuture<Void> connect(InetSocketAddress address, LinkHandler handler) {
        Bootstrap bootstrap = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
                .handler(initializer(handler, false));
        return completion(bootstrap.connect(address)).thenCompose(LinkNetwork::handshakeCompletion);
    }

    // -- queries

    /**
     * Returns how much the process has sent on its links, to judge what its messages cost.
     *
     * @return the number of bytes of all encoded messages since the start, without the framing of the transport
     */
    public long sentBytes() {
        return sentBytes.sum();
    }

    /**
     * Returns the account of the bytes that the links hold.
     *
     * @return the account, which changes over time
     */
    public LinkMemory memory() {
        return memory;
    }

    // -- channels

    private ChannelInitializer<SocketChannel> initializer(LinkHandler handler, boolean server) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                ChannelPipeline pipeline = channel.pipeline();
                LinkAccount account = memory.open(() -> evict(channel));
                tls.ifPresent(linkTls -> pipeline.addLast(linkTls.handler(channel, server)));
                pipeline.addLast(new FlushConsolidationHandler(MAX_CONSOLIDATED_FLUSHES, true));
                pipeline.addLast(new LinkMeter(account));
                pipeline.addLast(new LengthFieldBasedFrameDecoder(
                        FrameCodec.MAX_FRAME_BYTES + FrameCodec.LENGTH_BYTES,
                        0,
                        FrameCodec.LENGTH_BYTES,
                        0,
                        FrameCodec.LENGTH_BYTES));
                pipeline.addLast(new LengthFieldPrepender(FrameCodec.LENGTH_BYTES));
                pipeline.addLast(new LinkChannelHandler(identity, handler, sentBytes, delivery, account));
            }
        };
    }

    /**
     * Closes a link, and releases what it holds at once: a channel that is closed does so only after others are read.
     */
    private static void evict(Channel channel) {
        if (!channel.eventLoop().inEventLoop()) {
            channel.eventLoop().execute(() -> evict(channel));
            return;
        }
        ChannelPipeline pipeline = channel.pipeline();
        if (pipeline.get(LengthFieldBasedFrameDecoder.class) != null) {
            pipeline.get(LinkChannelHandler.class).dropUndelivered();
            pipeline.remove(LengthFieldBasedFrameDecoder.class);
        }
        channel.close();
    }

    private static CompletableFuture<Void> handshakeCompletion(Channel channel) {
        CompletableFuture<Void> completion = new CompletableFuture<>();
        SslHandler handler = channel.pipeline().get(SslHandler.class);
        if (handler == null) {
            completion.complete(null);
        } else {
            handler.handshakeFuture().addListener(done -> {
                if (done.isSuccess()) {
                    completion.complete(null);
                } else {
                    completion.completeExceptionally(done.cause());
                }
            });
        }
        return completion;
    }

    private static CompletableFuture<Channel> completion(ChannelFuture future) {
        CompletableFuture<Channel> completion = new CompletableFuture<>();
        future.addListener(done -> {
            if (done.isSuccess()) {
                completion.complete(future.channel());
            } else {
                completion.completeExceptionally(done.cause());
            }
        });
        return completion;
    }
}
