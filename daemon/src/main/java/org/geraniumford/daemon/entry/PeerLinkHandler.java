package org.geraniumford.daemon.entry;

import java.net.InetSocketAddress;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.link.Link;
import org.geraniumford.transport.link.LinkHandler;
import org.geraniumford.transport.log.LogEvent;

/** Updates the peer table from one link that the entry opened, and passes its messages to the listener. */
final class PeerLinkHandler implements LinkHandler {
    private final InetSocketAddress address;
    private final PeerTable table;
    private final PeerListener listener;
    private final PeerPool pool;
    /** The name of the peer's host; empty until the peer's {@code Hello} arrives. */
    private volatile String host = "";

    PeerLinkHandler(InetSocketAddress address, PeerTable table, PeerListener listener, PeerPool pool) {
        this.address = address;
        this.table = table;
        this.listener = listener;
        this.pool = pool;
    }

    @Override
    public void opened(Link link) {}

    @Override
    public void received(Link link, Envelope envelope) {
        if (envelope.message() instanceof Message.Hello hello) {
            registerPeer(link, envelope.incarnation(), hello);
            listener.received(host, link, envelope);
            return;
        }
        // The first message on a link must be Hello.
        if (host.isEmpty()) {
            link.close();
            return;
        }
        clearSuspicion(link);
        if (envelope.message() instanceof Message.SidecarState state) {
            table.update(host, link, peer -> peer.withState(state));
        }
        listener.received(host, link, envelope);
    }

    @Override
    public void closed(Link link, boolean broken) {
        pool.disconnected(address);
        if (!host.isEmpty()) {
            table.remove(host, link);
            listener.lost(host, link, broken);
            LogEvent.of("link_closed").with("host", host).with("broken", broken).info();
        }
    }

    private void registerPeer(Link link, long incarnation, Message.Hello hello) {
        host = hello.processId();
        if (table.add(Peer.of(address, link, incarnation, hello))) {
            LogEvent.of("link_opened")
                    .with("host", host)
                    .with("address", address)
                    .info();
        } else {
            link.close();
        }
    }

    private void clearSuspicion(Link link) {
        boolean suspect = table.find(host).filter(Peer::suspect).isPresent();
        if (suspect) {
            table.update(host, link, peer -> peer.withSuspect(false));
        }
    }
}
