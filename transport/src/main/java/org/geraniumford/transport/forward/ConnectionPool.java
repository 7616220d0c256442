package org.geraniumford.transport.forward;

import static java.util.Objects.requireNonNull;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Consumer;
import jdk.net.ExtendedSocketOptions;

/** Keeps connections to backend servers open between requests. Used on one network thread only. */
public final class ConnectionPool {
    private static final int CONNECT_TIMEOUT_MILLIS = 300;
    private static final int MAX_RESPONSE_HEADER_BYTES = 16 * 1024;
    private static final int KEEP_ALIVE_IDLE_SECONDS = 1;
    private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;
    private static final int KEEP_ALIVE_PROBES = 2;

    /** How long a connection whose server announces no timeout is used after it became idle. */
    private static final Duration DEFAULT_KEEP_ALIVE = Duration.ofMillis(2500);

    private final EventLoop loop;
    private final Map<String, Deque<ServerConnection>> idle = new HashMap<>();

    private ConnectionPool(EventLoop loop) {
        this.loop = loop;
    }

    // -- construction

    /**
     * Creates an empty pool.
     *
     * @param loop the network thread of all connections
     * @return a new pool
     */
    public static ConnectionPool of(EventLoop loop) {
        return new ConnectionPool(requireNonNull(loop, "loop is null"));
    }

    // -- commands

    /**
     * Takes an idle connection or opens one.
     *
     * @param address the server, IP:PORT
     * @param ready receives the connection
     * @param unreachable called if none can be opened
     */
    public void acquire(String address, Consumer<ServerConnection> ready, Consumer<Throwable> unreachable) {
        ServerConnection kept = pollIdle(address);
        if (kept != null) {
            ready.accept(kept);
        } else {
            open(address, ready, unreachable);
        }
    }

    /**
     * Closes the idle connections to a server.
     *
     * @param address the server, IP:PORT
     */
    public void closeIdle(String address) {
        Deque<ServerConnection> connections = idle.remove(address);
        if (connections != null) {
            new ArrayDeque<>(connections).forEach(ServerConnection::abort);
        }
    }

    /** Closes the idle connections that are past their time. */
    public void closeExpired() {
        long now = System.nanoTime();
        Iterator<Deque<ServerConnection>> servers = idle.values().iterator();
        while (servers.hasNext()) {
            Deque<ServerConnection> connections = servers.next();
            new ArrayDeque<>(connections)
                    .stream().filter(connection -> !connection.isUsable(now)).forEach(connection -> {
                        connections.remove(connection);
                        connection.abort();
                    });
            if (connections.isEmpty()) {
                servers.remove();
            }
        }
    }

    private ServerConnection pollIdle(String address) {
        Deque<ServerConnection> connections = idle.get(address);
        long now = System.nanoTime();
        while (connections != null && !connections.isEmpty()) {
            ServerConnection newest = connections.pollFirst();
            if (newest.isUsable(now)) {
                return newest;
            }
            newest.abort();
        }
        return null;
    }

    private void open(String address, Consumer<ServerConnection> ready, Consumer<Throwable> unreachable) {
        int colon = address.lastIndexOf(':');
        InetSocketAddress target =
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        ChannelFuture connecting = bootstrap(loop).handler(initializer(address)).connect(target);
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                ready.accept(connecting.channel().pipeline().get(ServerConnection.class));
            } else {
                unreachable.accept(done.cause());
            }
        });
    }

    /** Connections that give up soon on a peer that is out of reach or has fallen silent. */
    static Bootstrap bootstrap(EventLoop loop) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    }

    private ChannelInitializer<SocketChannel> initializer(String address) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                ServerConnection connection = newConnection(channel, address);
                channel.pipeline()
                        .addLast(new HttpRequestEncoder())
                        .addLast(new ResponseDecoder(connection))
                        .addLast(connection);
            }
        };
    }

    private ServerConnection newConnection(Channel channel, String address) {
        return new ServerConnection(
                channel,
                DEFAULT_KEEP_ALIVE,
                connection ->
                        idle.computeIfAbsent(address, key -> new ArrayDeque<>()).addFirst(connection),
                connection -> {
                    Deque<ServerConnection> connections = idle.get(address);
                    if (connections != null) {
                        connections.remove(connection);
                    }
                });
    }

    /** Knows that an answer to HEAD has no body. */
    private static final class ResponseDecoder extends HttpResponseDecoder {
        private final ServerConnection connection;

        ResponseDecoder(ServerConnection connection) {
            super(new HttpDecoderConfig()
                    .setMaxHeaderSize(MAX_RESPONSE_HEADER_BYTES)
                    .setMaxInitialLineLength(MAX_RESPONSE_HEADER_BYTES));
            this.connection = connection;
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            return connection.isHeadRequest() || super.isContentAlwaysEmpty(message);
        }
    }
}
