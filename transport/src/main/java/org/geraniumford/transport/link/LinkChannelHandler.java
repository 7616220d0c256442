package org.geraniumford.transport.link;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.ssl.SslHandshakeCompletionEvent;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.LongAdder;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.transport.log.LogEvent;

/** Connects a channel to a {@link LinkHandler}. */
final class LinkChannelHandler extends ChannelDuplexHandler {
    /** A link is not read on while this many of its messages wait to be delivered. */
    static final int MAX_UNDELIVERED_FRAMES = 64;

    /** A longer message is not sent while the links of the process hold too much. */
    private static final int LONG_FRAME_BYTES = 64 * 1024;

    private final LinkIdentity identity;
    private final LinkHandler handler;
    private final LongAdder sentBytes;
    private final Executor delivery;
    private final LinkAccount account;
    private final Deque<byte[]> undeliveredFrames = new ArrayDeque<>();
    private Link link;
    private boolean broken;

    /**
     * Creates a handler.
     *
     * @param identity the identity that the process presents to its peers
     * @param handler receives the events of the link
     * @param sentBytes counts the bytes of the messages sent
     * @param delivery decodes and delivers the messages received
     * @param account gets the bytes of the messages back that were delivered
     */
    LinkChannelHandler(
            LinkIdentity identity, LinkHandler handler, LongAdder sentBytes, Executor delivery, LinkAccount account) {
        this.identity = identity;
        this.handler = handler;
        this.sentBytes = sentBytes;
        this.delivery = delivery;
        this.account = account;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        if (context.pipeline().get(SslHandler.class) == null) {
            open(context);
        }
    }

    /** Opens an encrypted link once both ends are authenticated. */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof SslHandshakeCompletionEvent handshake && handshake.isSuccess()) {
            open(context);
        }
        context.fireUserEventTriggered(event);
    }

    private void open(ChannelHandlerContext context) {
        link = new Link(context.channel(), identity);
        link.send(identity.hello());
        handler.opened(link);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        dropUndelivered();
        if (link != null) {
            handler.closed(link, broken);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object frame) {
        ByteBuf buffer = (ByteBuf) frame;
        if (!account.isOpen()) {
            buffer.release();
            return;
        }
        byte[] bytes = ByteBufUtil.getBytes(buffer);
        buffer.release();
        link.markReceived();
        undeliveredFrames.add(bytes);
        if (undeliveredFrames.size() == MAX_UNDELIVERED_FRAMES) {
            context.channel().config().setAutoRead(false);
        }
        delivery.execute(() -> deliverNext(context));
    }

    /** Drops the messages that are not delivered. */
    void dropUndelivered() {
        undeliveredFrames.clear();
    }

    private void deliverNext(ChannelHandlerContext context) {
        if (undeliveredFrames.size() == MAX_UNDELIVERED_FRAMES) {
            context.channel().config().setAutoRead(true);
        }
        byte[] frame = undeliveredFrames.poll();
        if (frame == null) {
            // The link has ended.
            return;
        }
        // While as many messages wait as may, nothing is read.
        link.markReceived();
        try {
            handler.received(link, FrameCodec.decode(frame));
        } catch (BrokenFrameException | RuntimeException e) {
            exceptionCaught(context, e);
        } finally {
            account.release(FrameCodec.LENGTH_BYTES + frame.length);
        }
    }

    /**
     * Writes an envelope, or the bytes of a frame that is encoded already. A long one is dropped while the links of the
     * process hold too much.
     */
    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
            throws BrokenFrameException {
        byte[] frame = message instanceof Envelope envelope ? FrameCodec.encode(envelope) : (byte[]) message;
        if (frame.length > LONG_FRAME_BYTES && account.isMemoryScarce()) {
            LogEvent.of("message_not_sent")
                    .with("peer", context.channel().remoteAddress())
                    .with("bytes", frame.length)
                    .info();
            promise.tryFailure(new IOException("the links of this process hold too much"));
            return;
        }
        sentBytes.add(frame.length);
        context.write(Unpooled.wrappedBuffer(frame), promise);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        broken = broken || cause instanceof BrokenFrameException || cause instanceof DecoderException;
        LogEvent.of("link_failed")
                .with("peer", context.channel().remoteAddress())
                .with("failure", cause.getClass().getSimpleName())
                .with("message", cause.getMessage())
                .warn();
        context.close();
    }
}
