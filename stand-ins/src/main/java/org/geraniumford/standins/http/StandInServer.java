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

/** An HTTP server on loopback whose only thread runs every request and every timer. */
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
     * Returns a server that does not listen yet.
     *
     * @param name the prefix of the thread's name
     * @return a server with a daemon thread for its event loop
     */
    public static StandInServer of(String name) {
        return new StandInServer(
                new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory(name, true), NioIoHandler.newFactory()));
    }

    // -- queries

    /**
     * Returns the event loop of the only thread.
     *
     * @return the event loop that runs requests and timers
     */
    public EventLoop loop() {
        return loop;
    }

    /**
     * Returns the address that the server listens on. Must not be called before {@link #listen}.
     *
     * @return the address on loopback
     */
    public InetSocketAddress address() {
        return server.address();
    }

    /**
     * Returns the base URI of the server. Must not be called before {@link #listen}.
     *
     * @return the URI without a path
     */
    public URI uri() {
        return URI.create("http://" + LOOPBACK + ":" + address().getPort());
    }

    /**
     * Runs a task on the event loop and waits for it. Must not be called from the event loop.
     *
     * @param task the task to run
     * @param <T> the type of the result
     * @return the result
     * @throws IllegalStateException if the task throws or the wait is interrupted
     */
    public <T> T callOnLoop(Callable<T> task) {
        try {
            return loop.submit(task).get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while waiting for the event loop", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    // -- commands

    /**
     * Starts to listen.
     *
     * @param port the port on loopback; 0 selects a free port
     * @param service the service that handles the requests
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

    /** Closes every connection and continues to listen. */
    public void dropConnections() {
        server.closeConnections();
    }

    /** Stops listening, closes every connection and waits at most 5 s for the thread to end. */
    @Override
    public void close() {
        server.close();
        server.closeConnections();
        group.shutdownGracefully(0, STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .awaitUninterruptibly(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
