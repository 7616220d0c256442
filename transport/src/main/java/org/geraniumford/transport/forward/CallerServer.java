package org.geraniumford.transport.forward;

import static java.util.Objects.requireNonNull;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.IntConsumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.geraniumford.core.service.CallerLimits;

/** The HTTP/1.1 server for callers. All its connections run on one network thread. */
public final class CallerServer implements AutoCloseable {
    private static final int BACKLOG_CONNECTIONS = 1024;

    /** The number of reads of one connection in a round of I/O. */
    private static final int MAX_READS_PER_ROUND = 32;

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2048;

    /** The bytes of one read, all of which may have to be kept undecoded. */
    private static final int MAX_READ_BYTES = 32 * 1024;

    private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(32 * 1024, 128 * 1024);

    private final Set<CallerConnection> connections = new LinkedHashSet<>();
    private final CallerBounds bounds;
    private final IntConsumer refusalListener;
    private final Executor executor;
    private Channel channel;
    private boolean closing;

    private CallerServer(CallerBounds bounds, IntConsumer refusalListener, Executor executor) {
        this.bounds = bounds;
        this.refusalListener = refusalListener;
        this.executor = executor;
    }

    // -- construction

    /**
     * Starts a server.
     *
     * @param group the event loop group, which must have exactly one network thread
     * @param address the address to listen on; port 0 selects a free port
     * @param limits supplies the current limits for callers
     * @param handler handles the requests
     * @param refusalListener receives the HTTP status of each response to a request that is malformed or too large
     * @return the listening server, or the failure to bind
     */
    public static CompletableFuture<CallerServer> start(
            EventLoopGroup group,
            InetSocketAddress address,
            Supplier<CallerLimits> limits,
            CallerHandler handler,
            IntConsumer refusalListener) {
        return start(group, address, limits, handler, refusalListener, Runnable::run);
    }

    /**
     * Starts a server whose requests are handled by an executor, and whose number of connections is not bounded.
     *
     * @param group the event loop group, which must have exactly one network thread
     * @param address the address to listen on; port 0 selects a free port
     * @param limits supplies the current limits for callers
     * @param handler handles the requests
     * @param refusalListener receives the HTTP status of each response to a request that is malformed or too large
     * @param executor calls the handler, on the network thread
     * @return the listening server, or the failure to bind
     */
    public static CompletableFuture<CallerServer> start(
            EventLoopGroup group,
            InetSocketAddress address,
            Supplier<CallerLimits> limits,
            CallerHandler handler,
            IntConsumer refusalListener,
            Executor executor) {
        CallerBounds bounds = new CallerBounds(CallerMemory.ofHeap(), Integer.MAX_VALUE);
        return start(group, address, limits, bounds, handler, refusalListener, executor);
    }

    /**
     * Starts a server whose requests are handled by an executor, with bounds on what is kept for all callers.
     *
     * @param group the event loop group, which must have exactly one network thread
     * @param address the address to listen on; port 0 selects a free port
     * @param limits supplies the current limits for callers
     * @param bounds what is kept for all callers together
     * @param handler handles the requests
     * @param refusalListener receives the HTTP status of each response to a request that is malformed or too large
     * @param executor calls the handler, on the network thread
     * @return the listening server, or the failure to bind
     */
    public static CompletableFuture<CallerServer> start(
            EventLoopGroup group,
            InetSocketAddress address,
            Supplier<CallerLimits> limits,
            CallerBounds bounds,
            CallerHandler handler,
            IntConsumer refusalListener,
            Executor executor) {
        requireNonNull(limits, "limits is null");
        requireNonNull(handler, "handler is null");
        CallerServer server = new CallerServer(
                requireNonNull(bounds, "bounds is null"),
                requireNonNull(refusalListener, "refusalListener is null"),
                requireNonNull(executor, "executor is null"));
        ChannelFuture binding = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG_CONNECTIONS)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, readingToTheEnd())
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

    /** Reads until nothing is left, so that the end of a connection is seen together with the request before it. */
    private static RecvByteBufAllocator readingToTheEnd() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                .respectMaybeMoreData(false)
                .maxMessagesPerRead(MAX_READS_PER_ROUND);
    }

    private void accept(SocketChannel accepted, Supplier<CallerLimits> limits, CallerHandler handler) {
        if (connections.size() >= bounds.maxConnections() && !closeOldest()) {
            memory().count(CallerClosure.NO_ROOM, 0);
            accepted.close();
            return;
        }
        CallerConnection connection = new CallerConnection(limits, handler, this);
        connections.add(connection);
        accepted.pipeline()
                .addLast(connection.decoder())
                .addLast(new HttpResponseEncoder())
                .addLast(connection);
    }

    /** Closes the oldest connection of the first kind that there is. Returns whether there was any. */
    private boolean closeOldest() {
        Stream<Predicate<CallerConnection>> kinds = Stream.of(
                CallerConnection::isUnread,
                CallerConnection::isExpendable,
                CallerConnection::isIdle,
                CallerConnection::isReadAhead);
        Optional<CallerConnection> oldest = kinds.flatMap(
                        kind -> connections.stream().filter(kind).limit(1))
                .findFirst();
        oldest.ifPresent(connection -> {
            memory().count(CallerClosure.ROOM_NEEDED, connection.heldBytes());
            connections.remove(connection);
            connection.giveUp();
        });
        return oldest.isPresent();
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

    /**
     * Returns the number of open connections.
     *
     * @return a number of 0 or more
     */
    public int connectionCount() {
        return connections.size();
    }

    CallerMemory memory() {
        return bounds.memory();
    }

    boolean isClosing() {
        return closing;
    }

    // -- commands

    /** Makes each connection close after its next response. */
    public void closeAfterResponses() {
        closing = true;
    }

    /** Closes the connections without a request in progress. */
    public void closeIdleConnections() {
        List.copyOf(connections).forEach(CallerConnection::closeIfIdle);
    }

    /** Stops accepting connections; open ones stay open. */
    @Override
    public void close() {
        channel.close();
    }

    void execute(Runnable action) {
        executor.execute(action);
    }

    void closed(CallerConnection connection) {
        connections.remove(connection);
    }

    void refused(int status) {
        refusalListener.accept(status);
    }
}
