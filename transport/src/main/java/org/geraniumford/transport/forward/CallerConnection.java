package org.geraniumford.transport.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.geraniumford.core.service.CallerLimits;
import org.geraniumford.transport.log.LogEvent;

/**
 * One connection of a caller. Aggregates requests within the limits and passes them to the handler one at a time, in
 * order.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    private final Supplier<CallerLimits> limits;
    private final CallerHandler handler;
    private final CallerServer server;
    /** HTTP messages that arrived while a request was in progress, oldest first. */
    private final Deque<Object> pendingMessages = new ArrayDeque<>();

    private ChannelHandlerContext context;

    /** The head of the request whose body is being read; null if there is none. */
    private HttpRequest head;

    private ByteBuf body;
    private long headReadNanos;

    /** The response to the latest request whose head has been read; null before the first. */
    private CallerResponse response;

    /** Whether a request was malformed or too large; whatever arrives after it is discarded. */
    private boolean refused;

    /** The request in progress, also while the connection closes after its response; null if there is none. */
    private CallerExchange current;

    private ScheduledFuture<?> readTimer;

    CallerConnection(Supplier<CallerLimits> limits, CallerHandler handler, CallerServer server) {
        this.limits = limits;
        this.handler = handler;
        this.server = server;
    }

    // -- queries

    /** Returns whether the server is closing; a request that is already read gets its own response first. */
    boolean closesAfterResponse() {
        return server.isClosing() && pendingMessages.isEmpty();
    }

    // -- commands

    void closeIfIdle() {
        if (current == null && head == null && context != null) {
            context.close();
        }
    }

    /** Ends the request in progress, and reads the messages that arrived meanwhile until the next one is complete. */
    void responseCompleted() {
        current = null;
        context.channel().config().setAutoRead(true);
        restartReadTimer();
        while (current == null && !pendingMessages.isEmpty()) {
            read(pendingMessages.poll());
        }
    }

    // -- events

    @Override
    public void handlerAdded(ChannelHandlerContext handlerContext) {
        context = handlerContext;
    }

    @Override
    public void channelActive(ChannelHandlerContext handlerContext) {
        restartReadTimer();
    }

    @Override
    public void channelRead(ChannelHandlerContext handlerContext, Object message) {
        if (current != null) {
            pendingMessages.add(message);
            context.channel().config().setAutoRead(false);
        } else {
            read(message);
        }
    }

    private void read(Object message) {
        try {
            if (refused) {
                return;
            }
            if (message instanceof HttpRequest request) {
                response = CallerResponse.of(context.channel(), request.method());
            }
            if (((HttpObject) message).decoderResult().isFailure()) {
                refuseMalformed(((HttpObject) message).decoderResult().cause());
                return;
            }
            if (message instanceof HttpRequest request) {
                begin(request);
            }
            if (message instanceof HttpContent chunk && head != null) {
                append(chunk);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void begin(HttpRequest request) {
        if (hasAmbiguousLength(request)) {
            refuse(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        if (HttpUtil.isContentLengthSet(request)
                && HttpUtil.getContentLength(request, 0L) > limits.get().maxBodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        head = request;
        headReadNanos = System.nanoTime();
        body = Unpooled.EMPTY_BUFFER;
        restartReadTimer();
        if (HttpUtil.is100ContinueExpected(request)) {
            response.requestBody();
        }
    }

    /** Returns whether two HTTP parsers could disagree about where the request ends. */
    private static boolean hasAmbiguousLength(HttpRequest request) {
        boolean hasLength = request.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        boolean hasCoding = request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
        return (hasLength && hasCoding)
                || (hasCoding && !HttpUtil.isTransferEncodingChunked(request))
                || request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).size() > 1
                || request.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size() > 1;
    }

    private void append(HttpContent chunk) {
        if (body.readableBytes() + chunk.content().readableBytes()
                > limits.get().maxBodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (chunk.content().isReadable()) {
            buffer(chunk.content());
        }
        if (chunk instanceof LastHttpContent) {
            complete();
        }
    }

    private void buffer(ByteBuf content) {
        if (body.maxCapacity() == 0) {
            body = Unpooled.buffer(content.readableBytes());
        }
        body.writeBytes(content, content.readerIndex(), content.readableBytes());
    }

    private void complete() {
        FullHttpRequest request = new DefaultFullHttpRequest(
                head.protocolVersion(),
                head.method(),
                head.uri(),
                body,
                head.headers(),
                DefaultHttpHeadersFactory.trailersFactory().newHeaders());
        CallerExchange exchange = new CallerExchange(response, request, headReadNanos, this);
        current = exchange;
        head = null;
        body = null;
        stopReadTimer();
        server.execute(() -> handle(exchange));
    }

    private void handle(CallerExchange exchange) {
        if (exchange != current || !exchange.isConnected()) {
            handler.callerLeft(exchange);
            exchange.release();
            return;
        }
        try {
            handler.handle(exchange);
        } catch (RuntimeException e) {
            LogEvent.of("request_failed").error(e);
            context.close();
        }
    }

    private void refuseMalformed(Throwable cause) {
        boolean tooLong = cause instanceof TooLongFrameException;
        refuse(tooLong ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST);
    }

    private void refuse(HttpResponseStatus status) {
        refused = true;
        discardPartialRequest();
        FullHttpResponse refusal = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
        HttpUtil.setContentLength(refusal, 0);
        response.writeWhole(refusal, true);
        server.refused(status.code());
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext handlerContext) {
        if (current != null) {
            current.writableChanged();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext handlerContext) {
        stopReadTimer();
        discardPartialRequest();
        pendingMessages.forEach(ReferenceCountUtil::release);
        pendingMessages.clear();
        server.closed(this);
        if (current != null) {
            CallerExchange unfinished = current;
            current = null;
            unfinished.callerDisconnected();
        }
    }

    private void discardPartialRequest() {
        head = null;
        if (body != null) {
            body.release();
            body = null;
        }
    }

    // -- timers

    /** Closes the connection unless the next head, or after a head the whole body, is read within the idle timeout. */
    private void restartReadTimer() {
        stopReadTimer();
        readTimer = context.executor()
                .schedule(() -> context.close(), limits.get().idleTimeout().toMillis(), TimeUnit.MILLISECONDS);
    }

    private void stopReadTimer() {
        if (readTimer != null) {
            readTimer.cancel(false);
            readTimer = null;
        }
    }
}
