package org.geraniumford.transport.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;

/**
 * Decodes the messages of one connection as long as the connection takes them. One read can hold thousands of small
 * requests, so bytes that follow a request in progress stay undecoded.
 */
final class CallerDecoder extends HttpRequestDecoder {
    private final CallerConnection connection;
    private ChannelHandlerContext context;
    private boolean decoding;

    CallerDecoder(HttpDecoderConfig config, CallerConnection connection) {
        super(config);
        this.connection = connection;
    }

    // -- queries

    /** Returns whether bytes have been read that are not decoded. */
    boolean hasUndecoded() {
        return actualReadableBytes() > 0;
    }

    // -- commands

    /** Decodes what has been read. Has no effect if the decoder is at it. */
    void resume() {
        if (!decoding && context != null && hasUndecoded()) {
            read(context, Unpooled.EMPTY_BUFFER);
        }
    }

    // -- events

    @Override
    public void handlerAdded(ChannelHandlerContext handlerContext) throws Exception {
        context = handlerContext;
        super.handlerAdded(handlerContext);
    }

    @Override
    public void channelRead(ChannelHandlerContext handlerContext, Object message) {
        read(handlerContext, message);
    }

    private void read(ChannelHandlerContext handlerContext, Object message) {
        decoding = true;
        try {
            super.channelRead(handlerContext, message);
        } catch (Exception e) {
            handlerContext.fireExceptionCaught(e);
        } finally {
            decoding = false;
        }
        connection.keptUndecoded(hasUndecoded() ? internalBuffer().capacity() : 0);
    }

    /** Does not read on by itself, unlike its superclass, while the connection is not to be read. */
    @Override
    public void channelReadComplete(ChannelHandlerContext handlerContext) throws Exception {
        if (handlerContext.channel().config().isAutoRead()) {
            super.channelReadComplete(handlerContext);
        } else {
            discardSomeReadBytes();
            handlerContext.fireChannelReadComplete();
        }
    }

    @Override
    protected void decode(ChannelHandlerContext handlerContext, ByteBuf in, List<Object> out) throws Exception {
        if (!connection.takesMessages()) {
            return;
        }
        int start = in.readerIndex();
        int known = out.size();
        boolean inBody = connection.isInBody();
        super.decode(handlerContext, in, out);
        if (out.size() == known || !inBody) {
            connection.consumed(in.readerIndex() - start, lines(in, start));
        }
    }

    private static int lines(ByteBuf in, int start) {
        int lines = 0;
        int index = in.indexOf(start, in.readerIndex(), (byte) '\n');
        while (index >= 0) {
            lines++;
            index = in.indexOf(index + 1, in.readerIndex(), (byte) '\n');
        }
        return lines;
    }
}
