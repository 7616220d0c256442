package org.geraniumford.daemon.entry;

import java.util.List;
import java.util.function.BiPredicate;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.link.Link;
import org.geraniumford.transport.link.LinkHandler;

/**
 * Dispatches the messages that an entry receives, first to the control message handler. Messages that it does not
 * handle are passed to the listeners if the entry opened the link; on a link that the entry accepted, it responds to
 * pings and ignores all others.
 */
final class EntryLinkHandler implements PeerListener, LinkHandler {
    private final BiPredicate<Link, Envelope> controlMessageHandler;
    private final List<PeerListener> listeners;

    EntryLinkHandler(BiPredicate<Link, Envelope> controlMessageHandler, List<PeerListener> listeners) {
        this.controlMessageHandler = controlMessageHandler;
        this.listeners = List.copyOf(listeners);
    }

    // -- links that the entry opened

    @Override
    public void received(String host, Link link, Envelope envelope) {
        if (!controlMessageHandler.test(link, envelope)) {
            listeners.forEach(listener -> listener.received(host, link, envelope));
        }
    }

    @Override
    public void lost(String host, Link link, boolean broken) {
        listeners.forEach(listener -> listener.lost(host, link, broken));
    }

    // -- links that the entry accepted

    @Override
    public void opened(Link link) {}

    @Override
    public void received(Link link, Envelope envelope) {
        if (!controlMessageHandler.test(link, envelope) && envelope.message() instanceof Message.Ping ping) {
            link.send(new Message.Pong(ping.id()));
        }
    }

    @Override
    public void closed(Link link, boolean broken) {}
}
