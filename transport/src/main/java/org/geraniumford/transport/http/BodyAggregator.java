package org.geraniumford.transport.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Aggregates complete requests. Forwards a request whose body is too large without the body, so that it gets a
 * response.
 */
final class BodyAggregator extends HttpObjectAggregator {
    BodyAggregator(int maxBodyBytes) {
        super(maxBodyBytes);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        HttpRequest request = (HttpRequest) oversized;
        DefaultFullHttpRequest empty = new DefaultFullHttpRequest(
                request.protocolVersion(), request.method(), request.uri(), Unpooled.EMPTY_BUFFER);
        HttpUtil.setKeepAlive(empty, false);
        empty.setDecoderResult(DecoderResult.failure(new BodyTooLargeException()));
        context.fireChannelRead(empty);
    }
}
