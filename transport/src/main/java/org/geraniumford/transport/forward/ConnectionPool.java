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
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import jdk.net.ExtendedSocketOptions;
import org.geraniumford.transport.response.StrictResponseDecoder;

/**
 * A pool of connections to backend servers and to other servers that the router calls, kept open between requests. Used
 * on one network thread only.
 */
public final class ConnectionPool {
    private static final int CONNECT_TIMEOUT_MILLIS = 300;
    private static final int TCP_KEEP_ALIVE_IDLE_SECONDS = 1;
    private static final int TCP_KEEP_ALIVE_INTERVAL_SECONDS = 1;
    private static final int TCP_KEEP_ALIVE_PROBES = 2;

    /** The maximum idle time of a reused connection if its server sends no {@code Keep-Alive} timeout. */
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
     * Acquires an idle connection or opens a new one.
     *
     * @param address the server, IP:PORT
     * @param connectedListener receives the connection; called before this method returns if an idle one is acquired
     * @param failureListener receives the cause if no connection can be opened within 300 ms
     */
    public void acquire(
            String address, Consumer<ServerConnection> connectedListener, Consumer<Throwable> failureListener) {
        ServerConnection pooled = pollIdle(address);
        if (pooled != null) {
            connectedListener.accept(pooled);
        } else {
            open(address, connectedListener, failureListener);
        }
    }

    /**
     * Closes all idle connections to a server.
     *
     * @param address the server, IP:PORT
     */
    public void closeIdle(String address) {
        Deque<ServerConnection> connections = idle.remove(address);
        if (connections != null) {
            new ArrayDeque<>(connections).forEach(ServerConnection::abort);
        }
    }

    /** Closes the connections that have been idle for longer than their keep-alive timeout. */
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

    private void open(
            String address, Consumer<ServerConnection> connectedListener, Consumer<Throwable> failureListener) {
        Optional<InetSocketAddress> target = Endpoints.parse(address);
        if (target.isEmpty()) {
            loop.execute(() -> failureListener.accept(new IOException("not of the form IP:PORT: " + address)));
            return;
        }
        ChannelFuture connecting = bootstrap(loop)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .handler(initializer(address))
                .connect(target.get());
        // The listeners run after the current round of I/O: whoever has lost interest meanwhile is known then.
        connecting.addListener(done -> loop.execute(() -> {
            if (done.isSuccess()) {
                connectedListener.accept(connecting.channel().pipeline().get(ServerConnection.class));
            } else {
                failureListener.accept(done.cause());
            }
        }));
    }

    /** Creates a bootstrap whose connections fail soon if the other end is unreachable or stops responding. */
    static Bootstrap bootstrap(EventLoop loop) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), TCP_KEEP_ALIVE_IDLE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), TCP_KEEP_ALIVE_INTERVAL_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), TCP_KEEP_ALIVE_PROBES)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    }

    private ChannelInitializer<SocketChannel> initializer(String address) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                ServerConnection connection = newConnection(channel, address);
                channel.pipeline()
                        .addLast(new HttpRequestEncoder())
                        .addLast(newDecoder(connection))
                        .addLast(connection);
            }
        };
    }

    private ServerConnection newConnection(Channel channel, String address) {
        // Adds the connection to the idle ones whenever it can be reused, and removes it once it is closed.
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

    /** Decodes responses to HEAD requests without a body, whatever their header fields announce. */
    private static StrictResponseDecoder newDecoder(ServerConnection connection) {
        return new StrictResponseDecoder() {
            @Override
            protected boolean isContentAlwaysEmpty(HttpMessage message) {
                return connection.isHeadRequest() || super.isContentAlwaysEmpty(message);
            }
        };
    }
}
