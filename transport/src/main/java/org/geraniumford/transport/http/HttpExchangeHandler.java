package org.geraniumford.transport.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.ArrayDeque;
import java.util.Queue;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.transport.log.LogEvent;

/** Passes the requests of one HTTP/1.1 connection or HTTP/2 stream to the service, one at a time and in order. */
final class HttpExchangeHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final int MAX_PIPELINED_REQUESTS = 16;

    private final HttpService service;
    private final Queue<FullHttpRequest> waiting = new ArrayDeque<>();
    private HttpExchange current;

    /** Whether the connection ends with the current response; what arrives afterwards is dropped. */
    private boolean closing;

    HttpExchangeHandler(HttpService service) {
        this.service = service;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (closing) {
            return;
        }
        if (current == null) {
            begin(context, request);
        } else if (waiting.size() < MAX_PIPELINED_REQUESTS) {
            waiting.add(request.retain());
        } else {
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        waiting.forEach(FullHttpRequest::release);
        waiting.clear();
        if (current != null) {
            current.channelClosed();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (current != null && context.channel().isWritable()) {
            current.channelWritable();
        }
        context.fireChannelWritabilityChanged();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LogEvent.of("http_failed")
                .with("peer", context.channel().remoteAddress())
                .with("failure", cause.getClass().getSimpleName())
                .debug();
        context.close();
    }

    private void begin(ChannelHandlerContext context, FullHttpRequest request) {
        HttpExchange exchange = new HttpExchange(context, request, () -> beginNextOnEventLoop(context));
        current = exchange;
        Throwable failure = request.decoderResult().cause();
        if (failure == null) {
            service.handle(exchange);
        } else {
            closing = true;
            service.requestUnreadable(exchange, reasonOf(failure));
        }
    }

    private void beginNextOnEventLoop(ChannelHandlerContext context) {
        if (context.executor().inEventLoop()) {
            beginNext(context);
        } else {
            context.executor().execute(() -> beginNext(context));
        }
    }

    private void beginNext(ChannelHandlerContext context) {
        current = null;
        FullHttpRequest request = waiting.poll();
        if (request != null) {
            begin(context, request);
            request.release();
        }
    }

    private static Reason reasonOf(Throwable failure) {
        if (failure instanceof BodyTooLargeException) {
            return Reason.BODY_TOO_LARGE;
        }
        boolean headerTooLarge =
                failure instanceof TooLongHttpHeaderException || failure instanceof TooLongHttpLineException;
        return headerTooLarge ? Reason.HEADER_TOO_LARGE : Reason.MALFORMED_REQUEST;
    }
}
