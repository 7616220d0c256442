package org.geraniumford.transport.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.socket.SocketChannel;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection on which the caller may still be sending. A connection that is closed with unread bytes is reset,
 * and the caller then loses the response that explains why. Therefore only the own direction is ended at first; what
 * still arrives is read and dropped until the caller closes the connection or a short time has passed.
 */
final class LingeringClose {
    /** Closes the connection of a response that has been written. */
    static final ChannelFutureListener LISTENER = LingeringClose::close;

    private static final Duration MAX_LINGER = Duration.ofSeconds(1);

    private LingeringClose() {}

    private static void close(ChannelFuture written) {
        Channel channel = written.channel();
        if (written.isSuccess() && channel instanceof SocketChannel socket) {
            socket.shutdownOutput();
            channel.eventLoop().schedule(() -> channel.close(), MAX_LINGER.toMillis(), TimeUnit.MILLISECONDS);
        } else {
            channel.close();
        }
    }
}
