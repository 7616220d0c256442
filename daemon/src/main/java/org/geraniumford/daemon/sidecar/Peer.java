package org.geraniumford.daemon.sidecar;

import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.link.Link;

/** The other end of a link, as the sidecar's duty sees it. */
interface Peer {
    boolean send(Message message);

    boolean isOpen();

    boolean isFlushed();

    /** A peer on a network link. */
    record LinkPeer(Link link) implements Peer {
        @Override
        public boolean send(Message message) {
            return link.send(message);
        }

        @Override
        public boolean isOpen() {
            return link.isOpen();
        }

        @Override
        public boolean isFlushed() {
            return link.isFlushed();
        }
    }
}
