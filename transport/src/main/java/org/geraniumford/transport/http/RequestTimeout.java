package org.geraniumford.transport.http;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http2.Http2FrameCodec;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Closes an HTTP/1.1 connection or an HTTP/2 stream whose request is not read whole in time, however slowly its bytes
 * arrive. The time starts with the first bytes of the request.
 */
final class RequestTimeout extends ChannelInboundHandlerAdapter {
    private final Duration timeout;

    /** Runs while a request is being read; null otherwise. */
    private ScheduledFuture<?> timer;

    RequestTimeout(Duration timeout) {
        this.timeout = timeout;
    }

    /** Returns the handler behind the HTTP decoder, which notices the end of a request. */
    ChannelHandler requestEndHandler() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                if (message instanceof LastHttpContent) {
                    stopTimer();
                }
                context.fireChannelRead(message);
            }
        };
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (timer == null) {
            timer = context.executor().schedule(() -> expire(context), timeout.toMillis(), TimeUnit.MILLISECONDS);
        }
        context.fireChannelRead(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        stopTimer();
        context.fireChannelInactive();
    }

    /** A connection that has changed to HTTP/2 stays open: its requests have timers of their own. */
    private void expire(ChannelHandlerContext context) {
        timer = null;
        if (context.pipeline().get(Http2FrameCodec.class) == null) {
            context.close();
        }
    }

    private void stopTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }
}
