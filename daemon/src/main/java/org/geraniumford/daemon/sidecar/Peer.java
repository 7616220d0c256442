package org.geraniumford.daemon.sidecar;

import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.link.Link;

/** The process at the other end of a link. */
interface Peer {
    /** Sends a message; returns false if the link is closed or the peer reads too slowly. */
    boolean send(Message message);

    /** Returns whether messages can be sent. */
    boolean isOpen();

    /** Returns whether everything sent has left this process. */
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
