package org.geraniumford.daemon.limits;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.link.Link;
import org.geraniumford.transport.link.LinkHandler;
import org.geraniumford.transport.link.LinkNetwork;
import org.geraniumford.transport.log.LogEvent;

/** Links to other entries, each opened on first use. Thread-safe. */
final class EntryLinkPool implements AutoCloseable {
    private static final long RECONNECT_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    private final LinkNetwork network;
    private final BiConsumer<Link, Envelope> receiver;
    private final Map<InetSocketAddress, Link> links = new ConcurrentHashMap<>();
    private final Map<InetSocketAddress, Long> lastConnectNanos = new ConcurrentHashMap<>();
    private volatile boolean closed;

    EntryLinkPool(LinkNetwork network, BiConsumer<Link, Envelope> receiver) {
        this.network = network;
        this.receiver = receiver;
    }

    // -- commands

    /**
     * Sends a message. Returns false if no link is open or the peer reads too slowly; the message is then not sent, and
     * a new link is opened, at most one per address and second.
     */
    boolean send(InetSocketAddress address, Message message) {
        Link link = links.get(address);
        if (link != null && link.send(message)) {
            return true;
        }
        connect(address);
        return false;
    }

    @Override
    public void close() {
        closed = true;
        links.values().forEach(Link::close);
    }

    private void connect(InetSocketAddress address) {
        long nowNanos = System.nanoTime();
        Long lastNanos = lastConnectNanos.get(address);
        if (closed || (lastNanos != null && nowNanos - lastNanos < RECONNECT_INTERVAL_NANOS)) {
            return;
        }
        lastConnectNanos.put(address, nowNanos);
        network.connect(address, new Handler(address)).exceptionally(failure -> {
            LogEvent.of("entry_unreachable").with("address", address).info();
            return null;
        });
    }

    private final class Handler implements LinkHandler {
        private final InetSocketAddress address;

        Handler(InetSocketAddress address) {
            this.address = address;
        }

        @Override
        public void opened(Link link) {
            Link previous = links.put(address, link);
            if (previous != null) {
                previous.close();
            }
            if (closed) {
                link.close();
            }
        }

        @Override
        public void received(Link link, Envelope envelope) {
            receiver.accept(link, envelope);
        }

        @Override
        public void closed(Link link, boolean broken) {
            links.remove(address, link);
        }
    }
}
