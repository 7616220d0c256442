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
 * Joins the chunks of each request into a complete one. If the body is too large, the request is passed on without its
 * header fields and body and with a decoding failure, so that the service can respond to it.
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
