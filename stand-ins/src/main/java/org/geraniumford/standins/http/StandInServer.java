package org.geraniumford.standins.http;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.geraniumford.transport.http.HttpLimits;
import org.geraniumford.transport.http.HttpServer;
import org.geraniumford.transport.http.HttpService;

/** An HTTP server on loopback with one thread, which runs every request and every timer. */
public final class StandInServer implements AutoCloseable {
    private static final long STOP_TIMEOUT_SECONDS = 5;
    private static final String LOOPBACK = "127.0.0.1";

    private final EventLoopGroup group;
    private final EventLoop loop;
    private volatile HttpServer server;

    private StandInServer(EventLoopGroup group) {
        this.group = group;
        this.loop = (EventLoop) group.iterator().next();
    }

    // -- construction

    /**
     * Creates a server that does not listen yet.
     *
     * @param name the thread's name
     * @return a server with a running thread
     */
    public static StandInServer of(String name) {
        return new StandInServer(
                new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory(name, true), NioIoHandler.newFactory()));
    }

    // -- queries

    /**
     * Returns the thread.
     *
     * @return the loop that runs requests and timers
     */
    public EventLoop loop() {
        return loop;
    }

    /**
     * Returns where the server listens.
     *
     * @return the address on loopback
     */
    public InetSocketAddress address() {
        return server.address();
    }

    /**
     * Returns where the server listens, as a base address.
     *
     * @return the address without a path
     */
    public URI uri() {
        return URI.create("http://" + LOOPBACK + ":" + address().getPort());
    }

    /**
     * Runs work on the server's thread and waits for it.
     *
     * @param work what to run
     * @param <T> the type of its result
     * @return the result
     */
    public <T> T callOnLoop(Callable<T> work) {
        try {
            return loop.submit(work).get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    // -- commands

    /**
     * Begins to listen.
     *
     * @param port the port on loopback; 0 takes a free one
     * @param service answers the requests
     * @throws CompletionException if the port cannot be bound; the thread then ends
     */
    public void listen(int port, HttpService service) {
        try {
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            server = HttpServer.start(group, address, HttpLimits.ofDefaults(), service)
                    .join();
        } catch (CompletionException e) {
            group.shutdownGracefully();
            throw e;
        }
    }

    /** Closes every connection, but goes on listening. */
    public void dropConnections() {
        server.closeConnections();
    }

    /** Stops listening, closes every connection and ends the thread. */
    @Override
    public void close() {
        server.close();
        server.closeConnections();
        group.shutdownGracefully(0, STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .awaitUninterruptibly(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
