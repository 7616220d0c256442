package org.geraniumford.transport.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerUpgradeHandler;
import io.netty.handler.codec.http2.CleartextHttp2ServerUpgradeHandler;
import io.netty.handler.codec.http2.Http2CodecUtil;
import io.netty.handler.codec.http2.Http2FrameCodec;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2ServerUpgradeCodec;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.codec.http2.Http2StreamFrameToHttpObjectCodec;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;

/** Adds the handlers of HTTP/1.1 and HTTP/2 to the pipelines of accepted connections. */
final class HttpPipeline {
    private static final int MAX_REQUEST_LINE_BYTES = 8 * 1024;
    private static final int MAX_UPGRADE_BODY_BYTES = 64 * 1024;
    private static final int MAX_CONCURRENT_STREAMS = 256;

    private final HttpLimits limits;
    private final HttpService service;

    private HttpPipeline(HttpLimits limits, HttpService service) {
        this.limits = limits;
        this.service = service;
    }

    static HttpPipeline of(HttpLimits limits, HttpService service) {
        return new HttpPipeline(limits, service);
    }

    void addTo(ChannelPipeline pipeline) {
        HttpServerCodec codec = new HttpServerCodec(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .setMaxHeaderSize(limits.maxHeaderBytes()));
        HttpServerUpgradeHandler upgrade =
                new HttpServerUpgradeHandler(codec, this::upgradeCodec, MAX_UPGRADE_BODY_BYTES);
        RequestTimeout timeout = new RequestTimeout(limits.requestTimeout());
        pipeline.addLast(timeout);
        pipeline.addLast(new CleartextHttp2ServerUpgradeHandler(codec, upgrade, priorKnowledgeHandler()));
        pipeline.addLast(timeout.requestEndHandler());
        pipeline.addLast(new Http1Configurator());
    }

    private HttpServerUpgradeHandler.UpgradeCodec upgradeCodec(CharSequence protocol) {
        return AsciiString.contentEquals(Http2CodecUtil.HTTP_UPGRADE_PROTOCOL_NAME, protocol)
                ? new Http2ServerUpgradeCodec(frameCodec(), new Http2MultiplexHandler(streamInitializer()))
                : null;
    }

    private ChannelHandler priorKnowledgeHandler() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(frameCodec(), new Http2MultiplexHandler(streamInitializer()));
            }
        };
    }

    private Http2FrameCodec frameCodec() {
        return Http2FrameCodecBuilder.forServer()
                .initialSettings(Http2Settings.defaultSettings()
                        .maxConcurrentStreams(MAX_CONCURRENT_STREAMS)
                        .maxHeaderListSize(limits.maxHeaderBytes()))
                .build();
    }

    private ChannelHandler streamInitializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel stream) {
                RequestTimeout timeout = new RequestTimeout(limits.requestTimeout());
                stream.pipeline()
                        .addLast(
                                new Http2StreamFrameToHttpObjectCodec(true),
                                timeout,
                                timeout.requestEndHandler(),
                                new BodyAggregator(limits.maxBodyBytes()),
                                new HttpExchangeHandler(service));
            }
        };
    }

    /** Completes the pipeline when the first message shows that the connection uses HTTP/1.1. */
    private final class Http1Configurator extends SimpleChannelInboundHandler<HttpMessage> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpMessage first) {
            ChannelPipeline pipeline = context.pipeline();
            pipeline.addAfter(context.name(), "exchange", new HttpExchangeHandler(service));
            pipeline.replace(this, "aggregator", new BodyAggregator(limits.maxBodyBytes()));
            context.fireChannelRead(ReferenceCountUtil.retain(first));
        }
    }
}
