package org.geraniumford.transport.link;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.geraniumford.core.wire.Message;
import org.geraniumford.core.wire.Role;
import org.junit.jupiter.api.Test;

/** Guards against a process that closes its links while a handler of the channel still holds their last messages. */
final class LinkFlushTest {
    private static final LinkIdentity IDENTITY =
            new LinkIdentity(new Message.Hello("sidecar-1", Role.SIDECAR, "kigali-a", ""), 1, () -> 1);

    @Test
    void shouldNotBeFlushedWhileAHandlerPassesAMessageOn() {
        List<Boolean> flushedDuringWrite = new ArrayList<>();
        EmbeddedChannel channel = new EmbeddedChannel();
        Link link = new Link(channel, IDENTITY);
        channel.pipeline().addLast(new ChannelOutboundHandlerAdapter() {
            @Override
            public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
                flushedDuringWrite.add(link.isFlushed());
                context.write(message, promise);
            }
        });
        link.send(new Message.Ping(1));
        assertThat(flushedDuringWrite).containsExactly(false);
        assertThat(link.isFlushed()).isTrue();
    }

    @Test
    void shouldNotBeFlushedWhileAHandlerHoldsAMessage() {
        HoldingHandler holder = new HoldingHandler();
        EmbeddedChannel channel = new EmbeddedChannel(holder);
        Link link = new Link(channel, IDENTITY);
        link.send(new Message.Ping(1));
        link.send(new Message.Ping(2));
        assertThat(link.isFlushed()).isFalse();
        holder.releaseNext();
        assertThat(link.isFlushed()).isFalse();
        holder.releaseNext();
        assertThat(link.isFlushed()).isTrue();
    }

    @Test
    void shouldBeFlushedWhenAMessageWasDroppedAtTheEndOfTheConnection() {
        HoldingHandler holder = new HoldingHandler();
        EmbeddedChannel channel = new EmbeddedChannel(holder);
        Link link = new Link(channel, IDENTITY);
        link.send(new Message.Ping(1));
        channel.close();
        holder.releaseNext();
        assertThat(link.isFlushed()).isTrue();
    }

    /** Holds messages as a TLS handler does until the next flush. */
    private static final class HoldingHandler extends ChannelOutboundHandlerAdapter {
        private final List<Runnable> held = new ArrayList<>();

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            held.add(() -> context.writeAndFlush(message, promise));
        }

        void releaseNext() {
            held.remove(0).run();
        }
    }
}
