package org.geraniumford.transport.link;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;

/**
 * Enters the bytes that are read from a link, and those that are written until they are sent. Whoever takes the bytes
 * read returns them to the account.
 */
final class LinkMeter extends ChannelDuplexHandler {
    private final LinkAccount account;

    LinkMeter(LinkAccount account) {
        this.account = account;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
        account.hold(((ByteBuf) bytes).readableBytes());
        if (account.isOpen()) {
            context.fireChannelRead(bytes);
        } else {
            ReferenceCountUtil.release(bytes);
        }
    }

    @Override
    public void write(ChannelHandlerContext context, Object bytes, ChannelPromise promise) {
        int length = ((ByteBuf) bytes).readableBytes();
        account.hold(length);
        context.write(bytes, promise.unvoid().addListener(done -> account.release(length)));
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        account.close();
    }
}
