package org.geraniumford.transport.forward;

import static java.util.Objects.requireNonNull;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.geraniumford.transport.worker.Guarded;

/**
 * Watches whether a process listens at an address. Keeps one connection to the address open, on which nothing is sent,
 * and reconnects 200 ms after the connection has ended or could not be opened. Runs on one network thread.
 */
public final class LivenessWatch implements AutoCloseable {
    private static final Duration RECONNECT_DELAY = Duration.ofMillis(200);

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final LivenessListener listener;
    private Channel connection;
    private boolean closed;

    private LivenessWatch(EventLoop loop, InetSocketAddress address, LivenessListener listener) {
        this.loop = loop;
        this.address = address;
        this.listener = listener;
    }

    // -- construction

    /**
     * Starts to watch an address.
     *
     * @param loop the network thread
     * @param address the address
     * @param listener called after each attempt to connect
     * @return a watch that runs until it is closed
     */
    public static LivenessWatch start(EventLoop loop, InetSocketAddress address, LivenessListener listener) {
        LivenessWatch watch = new LivenessWatch(
                requireNonNull(loop, "loop is null"),
                requireNonNull(address, "address is null"),
                requireNonNull(listener, "listener is null"));
        watch.connect();
        return watch;
    }

    // -- commands

    private void connect() {
        if (closed) {
            return;
        }
        ChannelFuture connecting =
                ConnectionPool.bootstrap(loop).handler(new SilenceHandler()).connect(address);
        connecting.addListener(done -> {
            Guarded.run("liveness listener", () -> listener.livenessChecked(done.isSuccess()));
            if (done.isSuccess()) {
                opened(connecting.channel());
            } else {
                scheduleReconnect();
            }
        });
    }

    private void opened(Channel channel) {
        if (closed) {
            channel.close();
            return;
        }
        connection = channel;
        channel.closeFuture().addListener(ended -> scheduleReconnect());
    }

    /** Closes the connection if bytes arrive on it: nothing was asked, and they might not end. */
    private static final class SilenceHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            ReferenceCountUtil.release(bytes);
            context.close();
        }
    }

    private void scheduleReconnect() {
        loop.schedule(this::connect, RECONNECT_DELAY.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Stops watching and closes the connection. If it is connecting, the result is still reported. */
    @Override
    public void close() {
        closed = true;
        if (connection != null) {
            connection.close();
        }
    }
}
