package org.geraniumford.transport.link;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.log.LogEvent;

/** An open connection to another process of the router. Thread-safe. */
public final class Link implements AutoCloseable {
    private static final long MAX_UNSENT_BYTES = 4L * FrameCodec.MAX_FRAME_BYTES;

    private static final long BACKLOG_BYTES = 64L * 1024;

    private final Channel channel;
    private final LinkIdentity identity;
    private final AtomicLong sequence = new AtomicLong();

    /** The messages that are neither in the socket nor dropped; until then, handlers of the channel may hold them. */
    private final AtomicInteger unwrittenMessages = new AtomicInteger();

    private final ChannelFutureListener messageWritten = written -> unwrittenMessages.decrementAndGet();
    private volatile long lastReceivedNanos = System.nanoTime();

    Link(Channel channel, LinkIdentity identity) {
        this.channel = channel;
        this.identity = identity;
    }

    // -- commands

    /**
     * Sends a message. Messages of one thread are sent in order. If the peer reads so slowly that more than 32 MiB are
     * unsent, the connection is closed.
     *
     * @param message the message
     * @return false if the connection has ended or the peer reads too slowly; the message was then not written
     */
    public boolean send(Message message) {
        if (!ensureWritable()) {
            return false;
        }
        write(new Envelope(
                identity.incarnation(),
                sequence.incrementAndGet(),
                identity.configurationVersion().getAsLong(),
                message));
        return true;
    }

    /**
     * Sends a message that is encoded already, as {@link #send(Message)} does.
     *
     * @param message the message
     * @return false if the connection has ended, the peer reads too slowly, or the message is too long
     */
    public boolean send(EncodedMessage message) {
        if (!ensureWritable()) {
            return false;
        }
        try {
            write(FrameCodec.encode(
                    identity.incarnation(),
                    sequence.incrementAndGet(),
                    identity.configurationVersion().getAsLong(),
                    message));
            return true;
        } catch (BrokenFrameException e) {
            LogEvent.of("message_too_long").with("peer", this).error(e);
            return false;
        }
    }

    private void write(Object message) {
        unwrittenMessages.incrementAndGet();
        channel.writeAndFlush(message).addListener(messageWritten);
    }

    /** Returns whether a message can be sent. Closes the connection of a peer that reads too slowly. */
    private boolean ensureWritable() {
        if (!channel.isActive() || channel.unsafe().outboundBuffer() == null) {
            return false;
        }
        if (unsentBytes() > MAX_UNSENT_BYTES) {
            close();
            return false;
        }
        return true;
    }

    /** Closes the connection. */
    @Override
    public void close() {
        channel.close();
    }

    // -- queries

    /**
     * Returns whether the link is connected to an address.
     *
     * @param address an address that the peer may listen on
     * @return true if this process opened the link to that address
     */
    public boolean isConnectedTo(InetSocketAddress address) {
        return address.equals(channel.remoteAddress());
    }

    /**
     * Returns whether the connection is open.
     *
     * @return false once the connection has ended; no messages can be sent then
     */
    public boolean isOpen() {
        return channel.isActive();
    }

    /**
     * Returns when bytes of the peer were last read, even if the message is still to be delivered.
     *
     * @return the time of {@link System#nanoTime}; when the link was opened if nothing was read
     */
    public long lastReceivedNanos() {
        return lastReceivedNanos;
    }

    void markReceived() {
        lastReceivedNanos = System.nanoTime();
    }

    /**
     * Returns whether the peer reads so slowly that messages wait in this process.
     *
     * @return true if more than 64 KiB are unsent
     */
    public boolean isBacklogged() {
        return unsentBytes() > BACKLOG_BYTES;
    }

    /**
     * Returns whether all sent messages have left this process.
     *
     * @return true if each is in the socket, or was dropped because the connection has ended
     */
    public boolean isFlushed() {
        return unwrittenMessages.get() == 0;
    }

    /**
     * Returns a name of the connection for logs.
     *
     * @return the peer's address and port
     */
    @Override
    public String toString() {
        return String.valueOf(channel.remoteAddress());
    }

    private long unsentBytes() {
        var buffer = channel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }
}
