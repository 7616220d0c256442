package org.geraniumford.transport.forward;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.geraniumford.core.service.CallerLimits;
import org.geraniumford.transport.log.LogEvent;

/**
 * One connection of a caller. Aggregates requests within the limits and passes them to the handler one at a time, in
 * order.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** The next request is not begun while more bytes of responses than this are unsent. */
    private static final int MAX_UNSENT_BYTES = 16 * 1024;

    private static final int MAX_TRAILER_LINES = 256;

    /** The memory that a field of a head or trailer takes in addition to its bytes. */
    private static final int LINE_MEMORY_BYTES = 128;

    private final Supplier<CallerLimits> limits;
    private final CallerHandler handler;
    private final CallerServer server;
    private final CallerAccount account;
    private final CallerDecoder decoder;

    private ChannelHandlerContext context;

    /** The head of the request whose body is being read; null if there is none. */
    private HttpRequest head;

    private CallerBody body;

    /** The bytes and lines that were decoded since the last message: a part of a head, or of trailers. */
    private int consumedBytes;

    private int consumedLines;
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
        this.decoder = new CallerDecoder(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(limits.get().maxHeaderBytes())
                        .setMaxHeaderSize(limits.get().maxHeaderBytes()),
                this);
        this.account = CallerAccount.of(server.memory(), this);
    }

    // -- queries

    /** Returns whether the server is closing; a request that is already read gets its own response first. */
    boolean closesAfterResponse() {
        return server.isClosing() && !decoder.hasUndecoded();
    }

    CallerDecoder decoder() {
        return decoder;
    }

    /** Returns whether the next message may be decoded: requests, and responses to them, do not queue up here. */
    boolean takesMessages() {
        return current == null && !account.isClosed() && account.unsentBytes() <= MAX_UNSENT_BYTES;
    }

    /** Returns whether the head of a request has been read, and its end has not. */
    boolean isInBody() {
        return head != null;
    }

    /** Returns the memory that the connection takes, without requests that are complete. */
    long heldBytes() {
        return account.heldBytes();
    }

    /** Returns whether a request has begun to arrive, and no response is owed. */
    boolean isHalfSent() {
        return current == null
                && !refused
                && (head != null || consumedBytes > 0 || account.undecodedBytes() > 0)
                && !isUnread();
    }

    /** Returns whether the caller does not read the responses that are written. */
    boolean isUnread() {
        return context != null
                && (current == null
                        ? unsentBytes() > MAX_UNSENT_BYTES
                        : !context.channel().isWritable());
    }

    /** Returns whether the caller has sent more behind a request in progress, as ordinary callers do not. */
    boolean isReadAhead() {
        return !account.isClosed() && current != null && account.undecodedBytes() > 0;
    }

    /** Returns whether the connection can be closed without giving up a response that its caller waits for. */
    boolean isExpendable() {
        return !account.isClosed() && (refused || isHalfSent() || isUnread());
    }

    /** Returns whether no request is in progress or has begun to arrive. */
    boolean isIdle() {
        return !account.isClosed() && context != null && current == null;
    }

    private long unsentBytes() {
        ChannelOutboundBuffer buffer = context.channel().unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }

    // -- commands

    void closeIfIdle() {
        if (current == null && head == null && context != null) {
            context.close();
        }
    }

    /** Ends the request in progress, and reads on once enough of the response is sent. */
    void responseCompleted() {
        current = null;
        restartReadTimer();
        account.setUnsent(unsentBytes());
        if (account.unsentBytes() > MAX_UNSENT_BYTES) {
            // Completes once everything that was written before has been sent.
            context.pipeline()
                    .firstContext()
                    .writeAndFlush(Unpooled.EMPTY_BUFFER)
                    .addListener(sent -> readOn());
        } else {
            readOn();
        }
    }

    private void readOn() {
        account.setUnsent(unsentBytes());
        if (takesMessages()) {
            context.channel().config().setAutoRead(true);
            decoder.resume();
        }
    }

    /** Stops reading a body, while much memory is taken, or reads on. */
    void setReading(boolean reading) {
        context.channel().config().setAutoRead(reading && takesMessages());
    }

    /** Closes the connection to return its memory; a request that is half-sent is told that it has not run. */
    void giveUp() {
        if (head != null && current == null && !refused) {
            refuse(HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
        end();
        context.close();
    }

    CallerAccount account() {
        return account;
    }

    /** Returns all memory but that of a complete request, which has it until it is released. */
    private void end() {
        discardPartialRequest();
        account.close();
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

    /** Accounts for bytes that stay undecoded, and stops reading while the connection takes no messages. */
    void keptUndecoded(int capacity) {
        if (capacity > 0 && !takesMessages()) {
            context.channel().config().setAutoRead(false);
        }
        account.setUndecoded(capacity);
        account.setUnsent(unsentBytes());
    }

    /** Accounts for bytes of a head or of trailers that have been decoded, and bounds those of trailers. */
    void consumed(int bytes, int lines) {
        if (refused) {
            return;
        }
        consumedBytes += bytes;
        consumedLines += lines;
        account.addHead(bytes + (long) LINE_MEMORY_BYTES * lines);
        if (head != null && (consumedBytes > limits.get().maxHeaderBytes() || consumedLines > MAX_TRAILER_LINES)) {
            server.memory().count(CallerClosure.TRAILERS_TOO_LARGE, consumedBytes);
            refuse(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext handlerContext, Object message) {
        try {
            if (refused || account.isClosed()) {
                return;
            }
            consumedBytes = 0;
            consumedLines = 0;
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
        if (RequestLength.isAmbiguous(request)) {
            refuse(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        if (RequestLength.exceeds(request, limits.get().maxBodyBytes())) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (server.memory().isScarce() && RequestLength.isLong(request)) {
            server.memory().count(CallerClosure.MEMORY_SCARCE, 0);
            refuse(HttpResponseStatus.SERVICE_UNAVAILABLE);
            return;
        }
        head = request;
        headReadNanos = System.nanoTime();
        body = new CallerBody();
        restartReadTimer();
        if (HttpUtil.is100ContinueExpected(request)) {
            response.requestBody();
        }
    }

    private void append(HttpContent chunk) {
        if (body.size() + chunk.content().readableBytes() > limits.get().maxBodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        int growth = body.growth(chunk.content().readableBytes());
        if (growth > 0) {
            account.addBody(growth);
            if (body == null) {
                return;
            }
        }
        if (chunk.content().isReadable()) {
            body.append(chunk.content());
        }
        if (chunk instanceof LastHttpContent) {
            complete();
        }
    }

    private void complete() {
        FullHttpRequest request = new DefaultFullHttpRequest(
                head.protocolVersion(),
                head.method(),
                head.uri(),
                body.take(),
                head.headers(),
                DefaultHttpHeadersFactory.trailersFactory().newHeaders());
        CallerExchange exchange = new CallerExchange(response, request, account.takeRequest(), headReadNanos, this);
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
        response.writeWhole(CallerRefusal.of(status), true);
        server.refused(status.code());
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext handlerContext) {
        account.setUnsent(unsentBytes());
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
        end();
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
        account.releaseRequest();
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
