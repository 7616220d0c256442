package org.geraniumford.daemon.configuration;

import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.transport.link.Link;
import org.geraniumford.transport.link.LinkHandler;
import org.geraniumford.transport.link.LinkNetwork;
import org.geraniumford.transport.log.LogEvent;

/**
 * The links over which a new process requests the configuration from a few peers. The receiver sends the request when a
 * peer's message carries a newer configuration version, and closes the links once a configuration is loaded.
 * Thread-safe.
 */
final class SeedLinks implements LinkHandler, AutoCloseable {
    private final BiConsumer<Link, Envelope> receiver;
    private final Set<Link> links = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    private SeedLinks(BiConsumer<Link, Envelope> receiver) {
        this.receiver = receiver;
    }

    // -- construction

    static SeedLinks of(BiConsumer<Link, Envelope> receiver) {
        return new SeedLinks(receiver);
    }

    // -- commands

    void connect(LinkNetwork network, InetSocketAddress address) {
        network.connect(address, this).exceptionally(failure -> {
            LogEvent.of("seed_unreachable").with("address", address).info();
            return null;
        });
    }

    @Override
    public void close() {
        closed = true;
        links.forEach(Link::close);
    }

    // -- events

    @Override
    public void opened(Link link) {
        links.add(link);
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
        links.remove(link);
    }
}
