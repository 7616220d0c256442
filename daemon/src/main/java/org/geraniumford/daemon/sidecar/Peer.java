package org.geraniumford.daemon.sidecar;

import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.link.Link;

/** The other end of a link, as the sidecar's duty sees it. */
interface Peer {
    boolean send(Message message);

    boolean open();

    boolean flushed();

    /** A peer on a network link. */
    record OfLink(Link link) implements Peer {
        @Override
        public boolean send(Message message) {
            return link.send(message);
        }

        @Override
        public boolean open() {
            return link.open();
        }

        @Override
        public boolean flushed() {
            return link.flushed();
        }
    }
}
