package org.geraniumford.transport.forward;

import static java.util.Objects.requireNonNull;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Finds out whether a server that has ended its side of a connection has reset the connection as well: it closed it
 * with bytes of the request unread, and what it had sent may be a part. Reading tells only of the end, so that
 * something has to be written. Used on the connection's network thread only.
 */
final class ResetProbe {
    /** How long after the end a reset is awaited. */
    private static final Duration DELAY = Duration.ofMillis(50);

    /** An empty line behind a request, which servers ignore; the connection carries no further request. */
    private static final byte[] EMPTY_LINE = "\r\n".getBytes(StandardCharsets.US_ASCII);

    private final Channel channel;
    private final ChannelFuture requestWritten;

    private ResetProbe(Channel channel, ChannelFuture requestWritten) {
        this.channel = channel;
        this.requestWritten = requestWritten;
    }

    // -- construction

    /**
     * Creates a probe.
     *
     * @param channel the connection, whose other side the server has ended
     * @param requestWritten completes once the request was written whole, or fails to be
     */
    static ResetProbe of(Channel channel, ChannelFuture requestWritten) {
        return new ResetProbe(
                requireNonNull(channel, "channel is null"), requireNonNull(requestWritten, "requestWritten is null"));
    }

    // -- commands

    /**
     * Waits for a reset.
     *
     * @param soundListener called if there was none
     * @param resetListener receives the failure if the probe met one; not called if a write of the request meets it
     */
    void start(Runnable soundListener, Consumer<Throwable> resetListener) {
        channel.eventLoop().schedule(() -> probe(soundListener, resetListener), DELAY.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void probe(Runnable soundListener, Consumer<Throwable> resetListener) {
        if (!channel.isActive()) {
            return;
        }
        if (!requestWritten.isDone()) {
            // The request is still being written, and would have met the reset.
            soundListener.run();
            return;
        }
        ByteBuf emptyLine = Unpooled.wrappedBuffer(EMPTY_LINE);
        channel.pipeline().firstContext().writeAndFlush(emptyLine).addListener(written -> {
            if (written.isSuccess()) {
                soundListener.run();
            } else {
                resetListener.accept(written.cause());
            }
        });
    }
}
