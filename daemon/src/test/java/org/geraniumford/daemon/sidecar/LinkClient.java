package org.geraniumford.daemon.sidecar;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.core.wire.Message;
import org.geraniumford.core.wire.Role;
import org.geraniumford.transport.link.Link;
import org.geraniumford.transport.link.LinkHandler;
import org.geraniumford.transport.link.LinkIdentity;
import org.geraniumford.transport.link.LinkNetwork;

/** The test's end of a link to a sidecar. */
final class LinkClient implements LinkHandler, AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<Message> messages = new LinkedBlockingQueue<>();
    private final CompletableFuture<Link> link = new CompletableFuture<>();

    static LinkClient connect(InetSocketAddress address) {
        LinkClient client = new LinkClient();
        Message.Hello hello = new Message.Hello("entry-1", Role.ENTRY, "kigali-a", "");
        LinkNetwork.of(client.group, new LinkIdentity(hello, 1, () -> 0))
                .connect(address, client)
                .join();
        return client;
    }

    void send(Message message) {
        link.join().send(message);
    }

    /** Waits for the next message of a type and discards all others before it. */
    <M extends Message> M next(Class<M> type) {
        return next(type, message -> true);
    }

    /** Waits for the next message of a type that meets a condition and discards all others before it. */
    <M extends Message> M next(Class<M> type, Predicate<M> condition) {
        long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
        while (System.nanoTime() < deadlineNanos) {
            Message message = poll();
            if (type.isInstance(message) && condition.test(type.cast(message))) {
                return type.cast(message);
            }
        }
        throw new AssertionError("no " + type.getSimpleName() + " arrived");
    }

    /** Returns the messages that arrived and were not yet returned or discarded by {@link #next}. */
    List<Message> received() {
        return List.copyOf(messages);
    }

    private Message poll() {
        try {
            return messages.poll(100, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void opened(Link openedLink) {
        link.complete(openedLink);
    }

    @Override
    public void received(Link source, Envelope envelope) {
        messages.add(envelope.message());
    }

    @Override
    public void closed(Link closedLink, boolean broken) {}

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
