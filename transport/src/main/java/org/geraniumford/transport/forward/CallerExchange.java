package org.geraniumford.transport.forward;

import static java.util.Objects.requireNonNull;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/** One request of a caller and the way to answer it. Used on its network thread only. */
public final class CallerExchange {
    private final Channel channel;
    private final FullHttpRequest request;
    private final long arrivedNanos;
    private final CallerConnection connection;
    private boolean closeAfter;
    private boolean done;
    private Runnable disconnectListener = () -> {};
    private Runnable writableListener = () -> {};

    CallerExchange(Channel channel, FullHttpRequest request, long arrivedNanos, CallerConnection connection) {
        this.channel = channel;
        this.request = request;
        this.arrivedNanos = arrivedNanos;
        this.connection = connection;
        this.closeAfter = !HttpUtil.isKeepAlive(request);
    }

    // -- queries

    /**
     * Returns the request.
     *
     * @return the request with its whole body; released by {@link #release}
     */
    public FullHttpRequest request() {
        return request;
    }

    /**
     * Returns when the first bytes of the request were read.
     *
     * @return nanoseconds of the monotonic clock
     */
    public long arrivedNanos() {
        return arrivedNanos;
    }

    /**
     * Says whether the caller reads as fast as answers come.
     *
     * @return false while many bytes are unsent
     */
    public boolean isWritable() {
        return channel.isWritable();
    }

    // -- commands

    /** Closes the connection once the answer is written. */
    public void closeAfterResponse() {
        closeAfter = true;
    }

    /**
     * Sets what to do when the caller leaves before the answer is complete.
     *
     * @param listener called once, at most
     */
    public void onDisconnected(Runnable listener) {
        disconnectListener = requireNonNull(listener, "listener is null");
    }

    /**
     * Sets what to do when the caller starts or stops reading as fast as answers come.
     *
     * @param listener called after each change of {@link #isWritable}
     */
    public void onWritableChanged(Runnable listener) {
        writableListener = requireNonNull(listener, "listener is null");
    }

    /**
     * Sends a complete answer.
     *
     * @param response the answer
     */
    public void respond(FullHttpResponse response) {
        HttpUtil.setContentLength(response, response.content().readableBytes());
        setConnectionHeader(response);
        finish(channel.writeAndFlush(response));
    }

    /**
     * Begins an answer whose length is not known.
     *
     * @param head the status and header fields
     */
    public void begin(HttpResponse head) {
        HttpUtil.setTransferEncodingChunked(head, true);
        setConnectionHeader(head);
        channel.write(head);
    }

    /**
     * Sends a part of the body.
     *
     * @param part the next bytes; released once written
     */
    public void writeContent(ByteBuf part) {
        channel.writeAndFlush(new DefaultHttpContent(part));
    }

    /** Ends an answer that {@link #begin} began. */
    public void end() {
        finish(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }

    /** Cuts the connection, so that an unfinished answer does not look complete. */
    public void abort() {
        done = true;
        channel.close();
    }

    /** Lets go of the request's body. */
    public void release() {
        if (request.refCnt() > 0) {
            request.release();
        }
    }

    private void setConnectionHeader(HttpResponse response) {
        closeAfter = closeAfter || connection.isClosing();
        if (closeAfter) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void finish(ChannelFuture written) {
        done = true;
        if (closeAfter) {
            written.addListener(ChannelFutureListener.CLOSE);
        } else {
            connection.responseCompleted();
        }
    }

    // -- events

    void callerDisconnected() {
        if (!done) {
            done = true;
            disconnectListener.run();
        }
    }

    void writableChanged() {
        if (!done) {
            writableListener.run();
        }
    }
}
