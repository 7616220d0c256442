package org.geraniumford.transport.forward;

import static java.util.Objects.requireNonNull;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;

/** A caller's request and the means to respond to it. Used on its network thread only. */
public final class CallerExchange {
    private final Channel channel;
    private final CallerResponse response;
    private final FullHttpRequest request;
    private final long headReadNanos;
    private long requestBytes;
    private final CallerConnection connection;
    private boolean closeAfter;
    private boolean done;
    private Runnable disconnectListener = () -> {};
    private Runnable writableListener = () -> {};

    /** Creates an exchange whose request takes {@code requestBytes} of memory until it is released. */
    CallerExchange(
            CallerResponse response,
            FullHttpRequest request,
            long requestBytes,
            long headReadNanos,
            CallerConnection connection) {
        this.channel = response.channel();
        this.response = response;
        this.request = request;
        this.requestBytes = requestBytes;
        this.headReadNanos = headReadNanos;
        this.connection = connection;
        this.closeAfter = !HttpUtil.isKeepAlive(request);
    }

    // -- queries

    /**
     * Returns the request.
     *
     * @return the request with its complete body; released by {@link #release}
     */
    public FullHttpRequest request() {
        return request;
    }

    /**
     * Returns the time at which the request line and header fields were read.
     *
     * @return nanoseconds of {@link System#nanoTime}
     */
    public long headReadNanos() {
        return headReadNanos;
    }

    /**
     * Returns whether the caller is connected. This changes before the listener for disconnecting is called.
     *
     * @return false once the end of the caller's connection has been read
     */
    public boolean isConnected() {
        return channel.isActive();
    }

    /**
     * Returns whether the caller reads as fast as the response is written.
     *
     * @return false from when the unsent bytes exceed the high-water mark until they fall below the low-water mark
     */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /**
     * Returns whether a part of the response has been written.
     *
     * @return true from the head to the end; no other response can be sent then
     */
    public boolean hasBegun() {
        return response.isBegun();
    }

    // -- commands

    /** Closes the connection once the response has been written. */
    public void closeAfterResponse() {
        closeAfter = true;
    }

    /**
     * Sets the listener for the caller disconnecting before the response is complete.
     *
     * @param listener called at most once
     */
    public void onDisconnected(Runnable listener) {
        disconnectListener = requireNonNull(listener, "listener is null");
    }

    /**
     * Sets the listener for changes of {@link #isWritable}.
     *
     * @param listener called after each change
     */
    public void onWritableChanged(Runnable listener) {
        writableListener = requireNonNull(listener, "listener is null");
    }

    /**
     * Sends a complete response, without its body if the method or the status allows none. Cuts the response off if
     * {@link #begin} has started one, and sends nothing if one has been sent.
     *
     * @param whole the response; released
     */
    public void respond(FullHttpResponse whole) {
        done = true;
        updateCloseAfter();
        if (response.writeWhole(whole, closeAfter)) {
            readNextRequest();
        }
    }

    /**
     * Starts a response of unknown length. The head is sent together with the first chunk of the body, or with the end
     * of an empty one.
     *
     * @param head the status and header fields
     */
    public void begin(HttpResponse head) {
        updateCloseAfter();
        response.writeHead(head, closeAfter);
    }

    /**
     * Sends a chunk of the body. It is discarded if the method or the status allows no body.
     *
     * @param chunk the next bytes of the body; released once written
     */
    public void writeContent(ByteBuf chunk) {
        response.writeContent(chunk);
    }

    /** Completes a response that {@link #begin} started. */
    public void end() {
        done = true;
        if (response.writeEnd(closeAfter)) {
            readNextRequest();
        }
    }

    /** Closes the connection, so that an incomplete response does not look complete. */
    public void abort() {
        done = true;
        response.cutOff();
    }

    /** Releases the request's body. Has no effect if it is already released. */
    public void release() {
        if (request.refCnt() > 0) {
            request.release();
        }
        long bytes = requestBytes;
        requestBytes = 0;
        connection.account().release(bytes);
    }

    private void updateCloseAfter() {
        closeAfter = closeAfter || connection.closesAfterResponse();
    }

    private void readNextRequest() {
        if (!closeAfter) {
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
