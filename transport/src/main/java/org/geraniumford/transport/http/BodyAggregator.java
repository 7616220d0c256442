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
 * Aggregates complete requests. If a body is too large, the request is forwarded with an empty body and a decoding
 * failure, so that the service can respond to it.
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
