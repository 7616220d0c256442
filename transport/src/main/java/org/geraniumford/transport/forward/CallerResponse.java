package org.geraniumford.transport.forward;

import static java.util.Objects.requireNonNull;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import org.geraniumford.transport.log.LogEvent;

/**
 * The response to one request of a caller, and the only writer to the caller's connection from the head of that request
 * to the end of the response. Writes at most one head, and a body only where the method and the status allow one. Used
 * on the connection's network thread only.
 */
final class CallerResponse {
    private final Channel channel;
    private final HttpMethod method;
    private ResponseProgress progress = ResponseProgress.AWAITED;

    /** The status that the caller was told, as a number for the log; 0 before a head was written. */
    private int status;

    /** How a body is framed. Decided by the head, so without meaning before it. */
    private BodyFraming framing = BodyFraming.CHUNKED;

    private CallerResponse(Channel channel, HttpMethod method) {
        this.channel = channel;
        this.method = method;
    }

    // -- construction

    /**
     * Returns the response that a request awaits.
     *
     * @param channel the caller's connection
     * @param method the method of the request
     * @return a response of which nothing is written
     */
    static CallerResponse of(Channel channel, HttpMethod method) {
        return new CallerResponse(requireNonNull(channel, "channel is null"), requireNonNull(method, "method is null"));
    }

    // -- queries

    Channel channel() {
        return channel;
    }

    /** Returns whether the head is written and the end is not. */
    boolean isBegun() {
        return progress == ResponseProgress.BEGUN;
    }

    // -- commands

    /** Tells the caller to send the body of its request. */
    void requestBody() {
        if (progress == ResponseProgress.AWAITED) {
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    /**
     * Writes a complete response. If this response has begun already, it is cut off instead; if it has ended already,
     * nothing is written.
     *
     * @param response the response; released
     * @param closeAfter whether the connection is closed behind it
     * @return whether the response was written
     */
    boolean writeWhole(FullHttpResponse response, boolean closeAfter) {
        if (!admitsHead(response)) {
            response.release();
            return false;
        }
        beginWith(response, BodyFraming.ofWhole(method, response), closeAfter);
        end(framing.hasBody() ? response : withoutBody(response), closeAfter);
        return true;
    }

    private static FullHttpResponse withoutBody(FullHttpResponse response) {
        FullHttpResponse head = response.replace(Unpooled.EMPTY_BUFFER);
        response.release();
        return head;
    }

    /**
     * Writes the head of a response whose length is not known. It is sent with the first chunk of the body, or with the
     * end of an empty one. If this response has begun already, it is cut off instead.
     *
     * @param head the status and header fields
     * @param closeAfter whether the connection is closed after the end
     */
    void writeHead(HttpResponse head, boolean closeAfter) {
        if (admitsHead(head)) {
            beginWith(head, BodyFraming.ofStream(method, head), closeAfter);
            channel.write(head);
        }
    }

    /**
     * Writes a chunk of the body, or discards it if the response has no body or is not in progress.
     *
     * @param chunk the next bytes; released
     */
    void writeContent(ByteBuf chunk) {
        if (isBegun() && framing.hasBody()) {
            channel.writeAndFlush(new DefaultHttpContent(chunk));
            return;
        }
        chunk.release();
        channel.flush();
    }

    /**
     * Writes the end of a response that {@link #writeHead} began.
     *
     * @param closeAfter whether the connection is closed behind it
     * @return whether the end was written; false if no response was in progress
     */
    boolean writeEnd(boolean closeAfter) {
        if (!isBegun()) {
            return false;
        }
        end(LastHttpContent.EMPTY_LAST_CONTENT, closeAfter);
        return true;
    }

    /** Closes the connection, so that an incomplete response does not look complete. */
    void cutOff() {
        progress = ResponseProgress.CUT_OFF;
        channel.close();
    }

    /**
     * Returns whether a head may be written now. The caller of a response that has begun must not read a second one.
     */
    private boolean admitsHead(HttpResponse next) {
        if (progress == ResponseProgress.AWAITED) {
            return true;
        }
        LogEvent.of("second_response")
                .with("status", next.status().code())
                .with("first_status", status)
                .with("caller_got", progress.label())
                .warn();
        if (isBegun()) {
            cutOff();
        }
        return false;
    }

    private void beginWith(HttpResponse head, BodyFraming bodyFraming, boolean closeAfter) {
        progress = ResponseProgress.BEGUN;
        status = head.status().code();
        framing = bodyFraming;
        framing.applyTo(head);
        if (closeAfter) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void end(Object last, boolean closeAfter) {
        progress = ResponseProgress.ENDED;
        ChannelFuture written = channel.writeAndFlush(last).addListener(this::checkWritten);
        if (closeAfter) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    /** Closes the connection if the end could not be written, so that the caller does not wait for it. */
    private void checkWritten(Future<? super Void> written) {
        if (!written.isSuccess()) {
            LogEvent.of("response_unwritten")
                    .with("status", status)
                    .with("cause", written.cause())
                    .info();
            cutOff();
        }
    }
}
